package owner

import (
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
	"sapphiregauge/internal/tenure"
)

// Config holds the settings and dependencies of an Owner.
type Config struct {
	Pool            string
	Lease           *tenure.Tenure
	Term            int // number of previous owners
	Fence           gauge.FencingToken
	PreviousWorkers []string // incarnations of workers that the previous owner named
	// PreviousRow is the lease row as it was when claimed; its counts are reported until this owner
	// has its own.
	PreviousRow gauge.LeaseRow

	// PreviousLeaseLeft is the time left on the previous lease when this one was claimed: the
	// previous holder may act until then.
	PreviousLeaseLeft time.Duration
	// OrderGrace is how long orders and heartbeats may reach beyond the end of this owner's lease.
	OrderGrace     time.Duration
	JobRetention   time.Duration // how long the row of an ended job is kept
	LeaseExtension time.Duration // how far a heartbeat extends a worker's lease
	// MaxWorkerLease is the longest lease that a worker grants.
	MaxWorkerLease time.Duration
	MaxRowBytes    int // size limit of a row in the table; 0: none

	Store     gauge.PartitionedTable
	Workers   gauge.Workers
	Adviser   gauge.Adviser // nil: there is no advice service
	Logs      logr.Logger
	Now       func() time.Duration
	WallClock func() time.Time
	// ObserveTableClock receives each reading of the table's clock, with the local time at which
	// the call was sent.
	ObserveTableClock func(s gauge.TablePosition, sent time.Duration)
	// TableClock returns the approximate time of the table's clock in milliseconds.
	TableClock  func() int64
	ObserveCall func(event string, took time.Duration) // records the duration of a call or write
	CountEvent  func(event string)                     // counts an event that operators should see
	// ObserveBacklog receives the owner's backlog several times a second, and nil when this owner
	// has ended. A nil function disables the reports.
	ObserveBacklog func(pool string, b *gauge.Backlog)
	Disabled       gauge.Disabled // mechanisms that are switched off
}

const (
	// startTimeout is how late a start may arrive and still be carried out. A shorter timeout
	// settles an unanswered start sooner; a worker usually answers within a few milliseconds.
	startTimeout = time.Second
	// maxHeartbeatWait is how long a worker may keep a heartbeat open when it has nothing to
	// report. Only a new heartbeat extends the worker's lease, so it is well below the time by
	// which each one does.
	maxHeartbeatWait = time.Second
	// tickInterval is how often deadlines are checked when nothing else happens.
	tickInterval = 100 * time.Millisecond
	// The owner lags when, within lagWindow, there were at least lagMinOrders orders to at least
	// lagMinWorkers workers and more than half of them took longer than lagThreshold: this process
	// then lacks processor time, or its network path to the workers is bad. Orders usually take a
	// few milliseconds; an exhausted CPU quota delays one by a tenth of a second.
	lagWindow     = time.Second
	lagThreshold  = 150 * time.Millisecond
	lagMinOrders  = 10
	lagMinWorkers = 3
	// minPlanInterval is the minimum time between two plans. Each plan visits every waiting job, so
	// under load several ended runs share one plan.
	minPlanInterval = 4 * time.Millisecond
	// maxUnansweredStarts bounds the starts without an answer. An answer takes about 5 ms, which
	// allows 10,000 starts a second. At 10 Mbit/s and 2.6 KB a start, a full window takes a tenth
	// of a second to send, a third of the time allowed for an answer.
	maxUnansweredStarts = 48
	// maxConcurrentOrders bounds the concurrent orders to one worker. An order takes a few
	// milliseconds.
	maxConcurrentOrders = 3
	// extraConcurrentStops bounds the concurrent stops to one worker that don't share the slots
	// above. Together they use up the idle connections that are kept for a worker.
	extraConcurrentStops = 1
	// renewInterval is how often the lease is renewed when there is nothing else to write: four
	// attempts within the lease duration.
	renewInterval = 400 * time.Millisecond
	// minWriteInterval is the minimum time between two writes, so that runs that end in between
	// share a transaction. A write takes about 10 ms, and each one is billed.
	minWriteInterval = 30 * time.Millisecond
	// writeRetryDelay is the pause after a failed write.
	writeRetryDelay = 150 * time.Millisecond
	// scanInterval is how often the table is searched for jobs whose notification was lost.
	scanInterval = 1500 * time.Millisecond
	// fullScanEvery is the number of scans of which one covers the queues of all pools.
	fullScanEvery = 4
	// clockMargin covers the difference between the monotonic clocks of two entries.
	clockMargin = 200 * time.Millisecond
	// tableClockMargin covers the errors with which two entries know the table's clock.
	tableClockMargin = 300 * time.Millisecond
	// heldEndsDelay is the pause between heartbeats to a worker whose end reports aren't
	// acknowledged yet.
	heldEndsDelay = 50 * time.Millisecond
	// heartbeatRetryDelay is the pause after a failed heartbeat.
	heartbeatRetryDelay = 200 * time.Millisecond
	// adviseRetryDelay is the pause after a failed call to the advice service.
	adviseRetryDelay = 200 * time.Millisecond
	// ackTimeout bounds how long the next heartbeat is delayed until the ended runs of the last
	// report are written.
	ackTimeout = 400 * time.Millisecond
	// maxTxnOperations is the most operations that the table takes in a transaction.
	maxTxnOperations = 100
)
