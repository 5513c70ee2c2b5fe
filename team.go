package sapphiregauge

// Team is a group of callers that share a quota.
type Team struct {
	Quota int `json:"quota"` // requests that may be waiting or running at once, over all entries
}

func (t *Team) validate(fs *Faults) {
	atLeast(fs, "quota", t.Quota, 1)
}
