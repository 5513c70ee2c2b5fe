package share

// Len returns the number of counts that are kept.
func (r *Rates) Len() int { return len(r.counts) }
