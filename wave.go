package sapphiregauge

// Wave reboots every host of some pools once, within what the promises of the pools allow.
type Wave struct {
	Pools  []string `json:"pools"`
	Paused bool     `json:"paused,omitempty"`
}

func (w *Wave) validate(fs *Faults) {
	if len(w.Pools) == 0 {
		fs.Add("pools", "is empty, at least one pool is needed")
	}
}

// Covers reports whether the wave includes a pool.
func (w *Wave) Covers(pool string) bool {
	for _, p := range w.Pools {
		if p == pool {
			return true
		}
	}
	return false
}
