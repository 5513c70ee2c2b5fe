package sapphiregauge

// TableTraffic is what one call to the table service sent and received, in bytes without headers.
type TableTraffic struct {
	Table    string // of a transaction over several tables: the first one that it writes
	Call     string // commit, range, partitions or feed
	Sent     int
	Received int
}
