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
	OrderLook  OrderKind = "look" // asks at once what runs on the worker
	// OrderAdvise queries the advice service. Its outcome goes to Advised.
	OrderAdvise OrderKind = "advise"
)

// Order is one call to a worker. Its outcome goes to Answered.
type Order struct {
	Kind         OrderKind
	Worker       gauge.Worker
	Start        gauge.StartCall
	Stop         gauge.StopCall
	Pace         gauge.PaceCall
	Look         gauge.HoldCall
	Step         string   // that the query is about
	About        []string // workers that the query is about
	incarnations []gauge.Life
	stage        *stage
	validity     time.Duration
	run          *run
	orphan       *orphanRun
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

// Events that are counted, besides the ends of runs by kind. The first three show that a guarantee
// is in danger.
const (
	EventSurplus  = "surplus run"      // a task had two runs; the surplus one is stopped
	EventVanished = "run vanished"     // a worker lost a run without an end report
	EventOdd      = "run of ended job" // a run that belongs to no open job; stopped
	EventLost     = "run lost"         // a run ended with its worker's incarnation or lease
	EventLapsed   = "worker lapsed"    // a silent worker's lease expired with runs there
	EventCrashed  = "worker crashed"   // with runs there
	EventGivenUp  = "job given up"     // one of its tasks crashes its workers
	EventFailed   = "job failed"
	EventDone     = "job completed"
)
