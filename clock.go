package sapphiregauge

import "time"

// Clock returns the current time. Each process gets one from its command, so that a test can set
// it. Leases are measured as differences between two readings of the same clock and never compared
// with another host's time.
type Clock func() time.Time
