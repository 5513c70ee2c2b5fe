package fair

// Len returns the number of accounts that are known.
func (s *Shares) Len() int { return len(s.accounts) }
