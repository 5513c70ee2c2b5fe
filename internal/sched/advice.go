package sched

import (
	"cmp"
	"slices"
	"time"

	gauge "sapphiregauge"
)

// advised are the tickets that a stage has for workers, where its queue asks for
// them.
type advised struct {
	asking  bool
	tickets map[gauge.Life]ticket        // each holds for one life of a worker
	asked   map[gauge.Life]time.Duration // those that were asked about, and when
}

type ticket struct {
	text  string
	until time.Duration
}

const (
	// adviceMost workers are asked about at a time: the service takes time for
	// each, and callers' objectives count one question about thirty.
	adviceMost = 30
	// adviceAgain is how long an answer about a worker stands: the policy of a
	// step doesn't change, but tickets run out.
	adviceAgain = time.Second
	// ticketMargin is kept from a ticket's end, for the way of the start.
	ticketMargin = 200 * time.Millisecond
)

// ticketFor returns the stage's ticket for a worker; false: it must not start
// there. A queue without advice needs none.
func (t *turn) ticketFor(w *worker, now time.Duration) (string, bool) {
	if t.advice == nil {
		return "", true
	}
	k, ok := t.stage.advised.tickets[w.info.Life()]
	return k.text, ok && now < k.until-ticketMargin
}

// ask orders a question about the workers that have room for the stage and about
// which nothing is known, unless one is under way.
func (p *Pool) ask(t *turn, room *rooms, now time.Duration) {
	a := &t.stage.advised
	if t.advice == nil || a.asking {
		return
	}
	var about []*worker
	for _, w := range room.workers {
		asked, known := a.asked[w.info.Life()]
		if w.free().Holds(t.stage.spec.Room()) && (!known || now > asked+max(adviceAgain, t.advice.Valid)) {
			about = append(about, w)
		}
	}
	if len(about) == 0 {
		return
	}
	slices.SortFunc(about, func(x, y *worker) int { return cmp.Compare(y.free().MilliCPU, x.free().MilliCPU) })
	a.asking = true
	order := Order{Kind: OrderAdvise, stage: t.stage, Step: t.stage.tasks[0].id.StepName(), valid: t.advice.Valid}
	for _, w := range about[:min(len(about), adviceMost)] {
		order.About = append(order.About, w.info.ID)
		order.lives = append(order.lives, w.info.Life())
	}
	p.orders = append(p.orders, order)
}

// Advised takes in the answer to a question. The tickets hold from when it was
// asked.
func (p *Pool) Advised(o Order, tickets []gauge.Ticket, valid time.Duration, err error, asked time.Duration) {
	a := &o.stage.advised
	a.asking = false
	if err != nil {
		p.conf.Logs.Info("advice failed", "job", o.stage.tasks[0].id.Job, "step", o.Step, "about", len(o.About), "error", err.Error())
		return
	}
	if valid == 0 {
		valid = o.valid // the service doesn't say: as configured
	}
	if a.tickets == nil {
		a.tickets, a.asked = make(map[gauge.Life]ticket), make(map[gauge.Life]time.Duration)
	}
	lives := make(map[string]gauge.Life, len(o.lives))
	for _, l := range o.lives {
		a.asked[l], lives[l.Worker] = asked, l
		delete(a.tickets, l)
	}
	for _, t := range tickets {
		a.tickets[lives[t.Worker]] = ticket{text: t.Text, until: asked + valid}
	}
	p.conf.Logs.Info("advice", "job", o.stage.tasks[0].id.Job, "step", o.Step, "about", len(o.About), "good", len(tickets), "valid", valid)
}
