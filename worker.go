package sapphiregauge

import (
	"context"
	"time"
)

// Worker is one incarnation of a worker process, which may be restarted under the same ID.
type Worker struct {
	ID           string
	StartedAt    int64 // when this incarnation started, see Incarnation
	Pool         string
	Addr         string
	Zone         string
	Labels       []string // its kind and its rack
	Capacity     Resources
	Draining     bool
	MinDrainTime time.Duration // minimum time that it stays while draining
}

// Incarnation returns the worker's incarnation.
func (w *Worker) Incarnation() Incarnation { return Incarnation{Worker: w.ID, StartedAt: w.StartedAt} }

// Rack returns the name of the rack, which is the last label.
func (w *Worker) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// HasLabel reports whether the worker has a label; an empty label always matches.
func (w *Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Ending is how a run ended.
type Ending string

// The ways in which a run ends.
const (
	EndDone           Ending = "done"
	EndFailed         Ending = "failed"  // by a fault of the task or the worker
	EndStopped        Ending = "stopped" // the worker was ordered to stop it
	EndLeaseExpired   Ending = "lapsed"  // the worker's lease expired
	EndGangBroken     Ending = "broken"  // another member of its gang ended
	EndGangIncomplete Ending = "alone"   // the other members of its gang didn't start in time
)

// RunReport describes one run on a worker.
type RunReport struct {
	Task       TaskID
	Run        int
	Checkpoint string // newest checkpoint
	Progress   int    // percent of its work done; 100 for a long-running task in service
	Load       int    // tail latency in milliseconds if it serves users, else processor use in thousandths
}

// EndReport describes one ended run. Numbers start at 1 in each incarnation of the worker and grow.
type EndReport struct {
	Number     int64
	Task       TaskID
	Run        int
	Ending     Ending
	Checkpoint string
}

// WorkerReport is a worker's answer to Heartbeat.
type WorkerReport struct {
	StartedAt int64         // start of the incarnation that answered; 0: not reported
	Clock     time.Duration // the worker's monotonic clock
	Running   []RunReport
	Ended     []EndReport
}

// FencingToken is the fencing token of the pool's owner. A worker refuses orders with a lower token
// than one that it has seen.
type FencingToken int64

// Heartbeat is a call that extends the lease of everything that runs on a worker and asks for its
// report.
type Heartbeat struct {
	Fence FencingToken
	Until time.Duration // by the worker's clock; 0: no extension
	// LastSeenEnd is the number up to which the worker may forget end reports. It is sent only to
	// an incarnation that has answered a heartbeat before: another incarnation would forget its own
	// end reports.
	LastSeenEnd int64
	Wait        time.Duration // answer as soon as a run ends, at the latest after this time
	// SentAt is when the call was made, at the latest when it was sent, on the caller's clock; 0:
	// not known. It isn't sent.
	SentAt time.Duration
}

// StartCall starts one run.
type StartCall struct {
	Fence      FencingToken
	Task       TaskID
	Run        int
	Payload    string
	Until      time.Duration // by the worker's clock
	Checkpoint string        // checkpoint to resume from
	Ticket     string        // of the advice service, if the queue requires one
}

// StopCall stops one run.
type StopCall struct {
	Fence FencingToken
	Task  TaskID
	Run   int
}

// PaceCall sets the percentage of full speed at which a run works.
type PaceCall struct {
	Fence   FencingToken
	Task    TaskID
	Run     int
	Percent int
}

// Workers sends orders to workers. The implementation sends each call once and never repeats it. A
// call may reach a later incarnation of the worker than intended, which carries it out: only the
// answer to Heartbeat says which incarnation it was. The returned clock is the worker's own, 0 if
// the answer has none.
//
// Errors by kind: KindOutage: not sent; KindUnknown: sent, no complete answer, it may be carried
// out seconds later; KindFenced, KindStale, KindPastDeadline, KindNoRoom, KindBadTicket: refused by
// the worker, nothing done; KindReplaced: another worker answers at that address, so the intended
// incarnation is dead; KindUnhealthy: refused by a worker in trouble, nothing done; KindInvalid:
// the worker doesn't accept the order.
type Workers interface {
	Heartbeat(ctx context.Context, w *Worker, c Heartbeat) (*WorkerReport, error)
	Start(ctx context.Context, w *Worker, c StartCall) (clock time.Duration, err error)
	Stop(ctx context.Context, w *Worker, c StopCall) (clock time.Duration, err error)
	Pace(ctx context.Context, w *Worker, c PaceCall) (clock time.Duration, err error)
}
