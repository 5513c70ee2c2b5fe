package lag

import "time"

// Report is a change of an owner's state that is to be logged. Its value is the log message.
type Report string

// The values of Report.
const (
	ReportNone     Report = ""
	ReportBehind   Report = "owner behind"
	ReportCaughtUp Report = "owner caught up"
)

// BehindConfig sets up a BehindDetector.
type BehindConfig struct {
	Threshold      time.Duration // an owner whose oldest work has waited at least this long is behind
	ReportInterval time.Duration // ReportBehind is repeated at this interval while the owner is behind
}

// BehindDetector tracks whether an owner is behind with its work, by the age of its oldest work. It
// is not safe for concurrent use.
type BehindDetector struct {
	conf        BehindConfig
	behind      bool
	behindSince time.Duration // when the owner last fell behind
	lastReport  time.Duration // when ReportBehind was last returned
}

// NewBehindDetector makes a BehindDetector of an owner that is not behind.
func NewBehindDetector(c BehindConfig) *BehindDetector { return &BehindDetector{conf: c} }

// Observe records how long the oldest work has waited, and returns what is to be logged now. An
// owner has caught up when its oldest work is less than half as old as the threshold: the
// hysteresis keeps an owner near the threshold from changing its state all the time.
func (b *BehindDetector) Observe(oldest, now time.Duration) Report {
	switch {
	case !b.behind && oldest >= b.conf.Threshold:
		b.behind, b.behindSince, b.lastReport = true, now, now
		return ReportBehind
	case b.behind && 2*oldest < b.conf.Threshold:
		b.behind = false
		return ReportCaughtUp
	case b.behind && now-b.lastReport >= b.conf.ReportInterval:
		b.lastReport = now
		return ReportBehind
	default:
		return ReportNone
	}
}

// BehindFor returns the time since the owner last fell behind.
func (b *BehindDetector) BehindFor(now time.Duration) time.Duration { return now - b.behindSince }
