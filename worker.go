package sapphiregauge

import (
	"context"
	"time"
)

// Worker is one life of a worker process. It may start again under the same id.
type Worker struct {
	ID       string
	Born     int64 // when this life began, see Life
	Pool     string
	Addr     string
	Zone     string
	Labels   []string // its kind and its rack
	Capacity Resources
	Draining bool
	Leaves   time.Duration // at least so long it stays while draining
}

// Life tells this life from others of the same worker.
func (w *Worker) Life() Life { return Life{Worker: w.ID, Born: w.Born} }

// Rack is the label that names the rack, the last one.
func (w *Worker) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// HasLabel tells whether the worker carries a label; none is always carried.
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

// Ending is how a run came to its end.
type Ending string

// The ends of a run.
const (
	EndDone    Ending = "done"
	EndFailed  Ending = "failed"  // by the task's fault or the worker's
	EndStopped Ending = "stopped" // it was told to
	EndLapsed  Ending = "lapsed"  // the worker's lease ran out
	EndBroken  Ending = "broken"  // another member of its gang ended
	EndAlone   Ending = "alone"   // the other members didn't come in time
)

// RunReport is one run that a worker has at work.
type RunReport struct {
	Task     TaskID
	Run      int
	Saved    string // newest checkpoint
	Progress int    // percent of its work done; a lasting task at work has 100
	Load     int    // tail in milliseconds if it serves users, else processor use in thousandths
}

// EndReport is one end that a worker has listed. Numbers start at 1 in each life
// of the worker and grow.
type EndReport struct {
	Number int64
	Task   TaskID
	Run    int
	How    Ending
	Saved  string
}

// WorkerReport is a worker's answer to Hold.
type WorkerReport struct {
	Born    int64         // of the life that answered; 0: it doesn't tell
	Clock   time.Duration // the worker's steady clock
	Running []RunReport
	Ended   []EndReport
}

// Fence is the fencing token of the pool's owner. A worker does nothing for a
// lower one than it has seen.
type Fence int64

// HoldCall extends the lease of everything on a worker and asks for news.
type HoldCall struct {
	Fence Fence
	Until time.Duration // on the worker's clock; 0: no extension
	// Ends up to this number may be forgotten. It is told only to a process that has answered
	// a hold before: another life of the worker would forget its own ends by it.
	LastSeen int64
	Wait     time.Duration // answer as soon as there is an end, at the latest after this
}

// StartCall starts one run.
type StartCall struct {
	Fence   Fence
	Task    TaskID
	Run     int
	Payload string
	Until   time.Duration // on the worker's clock
	Saved   string        // checkpoint to go on from
	Ticket  string        // of the advice service, where the queue asks for one
}

// StopCall ends one run.
type StopCall struct {
	Fence Fence
	Task  TaskID
	Run   int
}

// PaceCall sets the share of its speed that a run works at.
type PaceCall struct {
	Fence   Fence
	Task    TaskID
	Run     int
	Percent int
}

// Workers gives orders to workers. Each call is sent once and is never repeated
// by the implementation. It may reach a later life of the worker than is meant, which
// carries it out: only the answer to Hold tells which one it was. The clock is the
// worker's own, 0 if the answer has none.
//
// Errors by kind: KindOutage: not sent; KindUnknown: sent, no whole answer, it
// may be carried out seconds later; KindFenced, KindStale, KindLate, KindNoRoom,
// KindTicket: refused by the worker, nothing done; KindReplaced: another worker
// answers at that address, so the life that is meant is over; KindUnhealthy: refused by a
// worker in trouble, nothing done; KindInvalid: the worker doesn't take it.
type Workers interface {
	Hold(ctx context.Context, w *Worker, c HoldCall) (*WorkerReport, error)
	Start(ctx context.Context, w *Worker, c StartCall) (clock time.Duration, err error)
	Stop(ctx context.Context, w *Worker, c StopCall) (clock time.Duration, err error)
	Pace(ctx context.Context, w *Worker, c PaceCall) (clock time.Duration, err error)
}
