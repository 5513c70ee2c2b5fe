package intake

import (
	"context"
	"slices"
	"time"

	gauge "sapphiregauge"
)

// What a lane does while its part of the table is away.

// answers tells whether the queue's part of the table answers a read.
func (l *lane) answers(id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeWait)
	defer cancel()
	_, _, err := l.intake.conf.Store.Range(ctx, gauge.TableJobs, l.queue, id, id+"\x00")
	return err == nil
}

// close shuts the lane and gives up all its jobs, those of the last transaction
// included.
func (l *lane) close(last []*pending) {
	l.mu.Lock()
	given := slices.Concat(last, l.jobs)
	l.jobs, l.busy = nil, false
	l.shutDown()
	for _, p := range given {
		if !p.left {
			p.settled <- p.givenUp()
		}
	}
	l.mu.Unlock()
	l.lost(given[0].id, len(given))
}

// lost logs that the table is away, and waits for its return.
func (l *lane) lost(id string, given int) {
	l.intake.conf.Logs.Info("dependency lost", "table", gauge.TableJobs, "queue", l.queue, "given", given)
	go l.reopen(id)
}

// shutDown has jobs refused from now on. The lock is held.
func (l *lane) shutDown() { l.shut, l.away = true, l.intake.conf.Now() }

// sound tells whether a job may be sent to the table after its pool's owner was
// refused there. A read shows it: sent first, the job could be stored later, and its
// caller told nothing but to ask again, until its tries are used up. In an outage that
// happened to each job once at each entry.
func (l *lane) sound(id string) bool {
	l.mu.Lock()
	known := l.shut || l.busy // it is refused, or goes with the others
	l.mu.Unlock()
	if known || l.answers(id) {
		return true
	}
	l.mu.Lock()
	first := !l.shut && !l.busy
	if first {
		l.shutDown()
	}
	l.mu.Unlock()
	if first {
		l.lost(id, 0)
	}
	return false
}

const (
	// leastBack and mostBack bound when callers are asked to come back while the table
	// is away. In between it is as long as it has been away: then the few tries that a
	// caller has reach past outages of any length, and it misses the table's return by
	// no more than the outage lasted. With a second each time, five tries were used up
	// in an outage of four seconds, and every tenth of the largest jobs of a day was lost.
	leastBack = time.Second
	mostBack  = 4 * time.Second
)

// refusal is what callers are told while the lane is shut.
func (l *lane) refusal() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	away := l.intake.conf.Now() - l.away
	if l.intake.conf.Without.Has(gauge.MechanismBackoff) {
		away = leastBack
	}
	return gauge.Fail(gauge.KindOutage, "the table doesn't answer").After(min(max(away, leastBack), mostBack))
}

// reopen waits until the part of the table answers. A read that was sent before the
// table is back hangs on after that, so that others are sent meanwhile.
func (l *lane) reopen(id string) {
	began := l.intake.conf.Now()
	answers := make(chan bool, 1)
	for {
		answered := false
		select {
		case answered = <-answers:
		case <-l.intake.conf.After(probeAgain):
			go func() {
				if l.answers(id) {
					select {
					case answers <- true:
					default:
					}
				}
			}()
		}
		if answered || l.forgotten() {
			l.mu.Lock()
			l.shut = false
			l.mu.Unlock()
			l.intake.conf.Logs.Info("dependency regained", "table", gauge.TableJobs, "queue", l.queue, "answered", answered,
				"away", l.intake.conf.Now()-began)
			return
		}
	}
}

// forgotten tells whether no job has come for long.
func (l *lane) forgotten() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.intake.conf.Now()-l.came > probeFor
}
