package sched

import (
	"cmp"
	"slices"
	"time"

	gauge "sapphiregauge"
)

// An advice service decides on which workers the steps of some queues may run; a ticket is its
// permission for one step on one incarnation of a worker.

// stageAdvice holds the tickets that a stage has for workers, if its queue requires advice.
type stageAdvice struct {
	queryInFlight bool
	tickets       map[gauge.Incarnation]ticket        // by incarnation of a worker
	queriedAt     map[gauge.Incarnation]time.Duration // when each worker was last asked about
}

type ticket struct {
	text      string
	expiresAt time.Duration
}

const (
	// maxAdviceWorkers is how many workers a query covers at most: the advice service's response
	// time grows with the number of workers, and callers' objectives leave time for one query about
	// thirty workers.
	maxAdviceWorkers = 30
	// adviceRetryDelay is the least time between two queries about a worker: the policy for a step
	// doesn't change, but tickets expire.
	adviceRetryDelay = time.Second
	// ticketMargin is subtracted from a ticket's validity, for the time that the start takes to the
	// worker.
	ticketMargin = 200 * time.Millisecond
)

// ticketFor returns the stage's ticket for a worker; false: the stage must not start there. A queue
// without advice needs none.
func (c *candidate) ticketFor(w *worker, now time.Duration) (string, bool) {
	if c.advice == nil {
		return "", true
	}
	found, ok := c.stage.advice.tickets[w.info.Incarnation()]
	return found.text, ok && now < found.expiresAt-ticketMargin
}

// askAdvice orders a query about the workers that have room for the stage and for which no answer
// is known, unless a query is in flight.
func (p *Pool) askAdvice(c *candidate, round *placementRound, now time.Duration) {
	a := &c.stage.advice
	if c.advice == nil || a.queryInFlight {
		return
	}
	var queried []*worker
	for _, w := range round.workers {
		asked, known := a.queriedAt[w.info.Incarnation()]
		if w.free().Contains(c.stage.spec.Reservation()) && (!known || now > asked+max(adviceRetryDelay, c.advice.TicketValidity)) {
			queried = append(queried, w)
		}
	}
	if len(queried) == 0 {
		return
	}
	slices.SortFunc(queried, func(x, y *worker) int { return cmp.Compare(y.free().MilliCPU, x.free().MilliCPU) })
	a.queryInFlight = true
	order := Order{Kind: OrderAdvise, stage: c.stage, Step: c.stage.tasks[0].id.StepName(), validity: c.advice.TicketValidity}
	for _, w := range queried[:min(len(queried), maxAdviceWorkers)] {
		order.AdviceWorkers = append(order.AdviceWorkers, w.info.ID)
		order.incarnations = append(order.incarnations, w.info.Incarnation())
	}
	p.orders = append(p.orders, order)
}

// AdviceAnswered handles the answer to a query. The tickets are valid from the time of the query.
func (p *Pool) AdviceAnswered(o Order, tickets []gauge.Ticket, valid time.Duration, err error, queriedAt time.Duration) {
	a := &o.stage.advice
	a.queryInFlight = false
	if err != nil {
		p.conf.Logs.Info("advice failed", "job", o.stage.tasks[0].id.Job, "step", o.Step, "about", len(o.AdviceWorkers), "error", err.Error())
		return
	}
	if valid == 0 {
		valid = o.validity // the service doesn't say: as configured
	}
	if a.tickets == nil {
		a.tickets, a.queriedAt = make(map[gauge.Incarnation]ticket), make(map[gauge.Incarnation]time.Duration)
	}
	byWorker := make(map[string]gauge.Incarnation, len(o.incarnations))
	for _, incarnation := range o.incarnations {
		a.queriedAt[incarnation], byWorker[incarnation.Worker] = queriedAt, incarnation
		delete(a.tickets, incarnation)
	}
	for _, t := range tickets {
		a.tickets[byWorker[t.Worker]] = ticket{text: t.Text, expiresAt: queriedAt + valid}
	}
	p.conf.Logs.Info("advice", "job", o.stage.tasks[0].id.Job, "step", o.Step, "about", len(o.AdviceWorkers), "good", len(tickets), "valid", valid)
}
