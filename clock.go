package sapphiregauge

import "time"

// Clock tells the time. Every process has one, handed down from its command,
// so that a test can set it. Leases are measured as differences between two
// readings of the same clock and never compared with another host's time.
type Clock func() time.Time
