package sched

import (
	"time"

	gauge "sapphiregauge"
)

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of orders.
const (
	OrderStart OrderKind = "start"
	OrderStop  OrderKind = "stop"
	OrderPace  OrderKind = "pace"
	OrderProbe OrderKind = "look" // asks at once what runs on the worker
	// OrderAdvise queries the advice service. Its outcome goes to Pool.AdviceAnswered instead.
	OrderAdvise OrderKind = "advise"
)

// Order is one call to a worker. Its outcome goes to Pool.OrderAnswered.
type Order struct {
	Kind          OrderKind
	Worker        gauge.Worker
	Start         gauge.StartCall
	Stop          gauge.StopCall
	Pace          gauge.PaceCall
	Probe         gauge.Heartbeat
	Step          string   // that the query is about
	AdviceWorkers []string // workers that the query is about
	incarnations  []gauge.Incarnation
	stage         *stage
	validity      time.Duration
	run           *run
	orphan        *orphanRun
}

// Fence is the fencing token that the order was sent with.
func (o *Order) Fence() gauge.FencingToken {
	switch o.Kind {
	case OrderStart:
		return o.Start.Fence
	case OrderStop:
		return o.Stop.Fence
	case OrderPace:
		return o.Pace.Fence
	default:
		return o.Probe.Fence
	}
}

// Events that are counted, besides the ends of runs by kind. The first three show that a guarantee
// is in danger.
const (
	EventSurplus      = "surplus run"      // a task had more runs than it may; the surplus one is stopped
	EventVanished     = "run vanished"     // a worker lost a run without an end report
	EventRowShortened = "row shortened"    // a job's row was too large, and written without some entries
	EventOrphan       = "run of ended job" // a run that belongs to no open job; stopped
	EventLost         = "run lost"         // a run ended with its worker's incarnation or lease
	EventLeaseExpired = "worker lapsed"    // a silent worker's lease expired with runs there
	EventCrashed      = "worker crashed"   // with runs there
	EventMisjudged    = "crash misjudged"  // a worker that counted as crashed answers
	EventGivenUp      = "job given up"     // one of its tasks crashes its workers
	EventFailed       = "job failed"
	EventCompleted    = "job completed"
	EventRescued      = "late job starts first"   // before timely ones, to be served at all
	EventBeyondPart   = "account beyond its part" // of a full pool: it comes after the others

	EventWorkerSlow      = "worker slow"      // it is chosen after all others
	EventWorkerStalled   = "worker stalled"   // it gets no starts for a while
	EventWorkerRecovered = "worker recovered" // it is treated like the others again
)
