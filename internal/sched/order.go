package sched

import (
	"time"

	gauge "sapphiregauge"
)

// OrderKind is what is ordered.
type OrderKind string

// The orders.
const (
	OrderStart OrderKind = "start"
	OrderStop  OrderKind = "stop"
	OrderPace  OrderKind = "pace"
	OrderLook  OrderKind = "look" // what runs there now?
	// OrderAdvise asks the advice service. Its outcome is to be told by Advised.
	OrderAdvise OrderKind = "advise"
)

// Order is one call to a worker. Its outcome is to be told by Answered.
type Order struct {
	Kind   OrderKind
	Worker gauge.Worker
	Start  gauge.StartCall
	Stop   gauge.StopCall
	Pace   gauge.PaceCall
	Look   gauge.HoldCall
	Step   string   // asked about
	About  []string // workers
	lives  []gauge.Life
	stage  *stage
	valid  time.Duration
	run    *run
	odd    *oddRun
}

// Fence is the fencing token that the order was sent with.
func (o *Order) Fence() gauge.Fence {
	switch o.Kind {
	case OrderStart:
		return o.Start.Fence
	case OrderStop:
		return o.Stop.Fence
	case OrderPace:
		return o.Pace.Fence
	default:
		return o.Look.Fence
	}
}

// Events that are counted, beside the ends of runs by how they came. The first
// three are signs of a promise in danger.
const (
	EventSurplus  = "surplus run"      // a task had two runs; the surplus one is stopped
	EventVanished = "run vanished"     // a worker lost a run without an end
	EventOdd      = "run of ended job" // a run of a job that is not open; stopped
	EventLost     = "run lost"         // a run ended with its worker's life, or with its lease
	EventLapsed   = "worker lapsed"    // a silent worker's lease ran out with runs there
	EventCrashed  = "worker crashed"   // with runs there
	EventGivenUp  = "job given up"     // a task of it ends its workers
	EventFailed   = "job failed"
	EventDone     = "job completed"
)
