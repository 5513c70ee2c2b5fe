// Package waves decides which machine is emptied and which begins its upkeep. It
// is a state machine without input or output. Its promises: no more machines of
// a wave are down at once than the operator allows, unanswered orders counted;
// a machine begins its upkeep only when its pool's owner has said that nothing
// runs there; a wave is completed only when each of its machines that stays has
// begun.
package waves

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
)

// Config sets up a Keeper.
type Config struct {
	Upkeep  time.Duration // length of a machine's upkeep
	Without gauge.Without // what is switched off
	Logs    logr.Logger
}

// Keeper carries out waves. It is not safe for concurrent use.
type Keeper struct {
	conf     Config
	waves    map[int64]*wave
	machines map[string]gauge.Machine
	listed   time.Duration // when the list was asked for
	standby  map[string]bool
	sight    Sight
}

type wave struct {
	order gauge.UpkeepOrder
	seen  time.Duration            // by this holder
	since time.Duration            // by the first holder
	begun map[string]bool          // in the table
	down  map[string]time.Duration // since when a machine may be down: the order went out
	tries map[string]time.Duration // when an order was last sent that may not have been carried out
	empty map[string]bool          // nothing runs there, as its owner said just now
	asked map[string]bool          // chosen to be emptied
	done  bool
}

// Ask is a machine to be emptied by its pool's owner.
type Ask struct {
	Machine string
	Pool    string
	Worker  string
	Force   bool // end what doesn't end by itself
}

// Begin is an upkeep to order.
type Begin struct {
	Wave    int64
	Machine string
}

// Steps are what to do next.
type Steps struct {
	Asks     []Ask
	Begins   []Begin
	Complete []int64
}

// New makes a Keeper without waves.
func New(c Config) *Keeper {
	return &Keeper{conf: c, waves: make(map[int64]*wave), machines: make(map[string]gauge.Machine), standby: make(map[string]bool)}
}

// Past is what the table knows of a wave.
type Past struct {
	Begun []string      // machines that have had their order
	Done  bool          // it is completed
	Age   time.Duration // since it was first seen
}

// Order takes in a wave.
func (k *Keeper) Order(o gauge.UpkeepOrder, past Past, now time.Duration) {
	if k.waves[o.Wave] != nil {
		return
	}
	w := &wave{
		order: o, seen: now, since: now - past.Age, begun: make(map[string]bool), down: make(map[string]time.Duration),
		tries: make(map[string]time.Duration), empty: make(map[string]bool), asked: make(map[string]bool), done: past.Done,
	}
	for _, m := range past.Begun {
		w.begun[m] = true
		// It may be down still: the order was an earlier holder's.
		w.down[m] = now
	}
	k.waves[o.Wave] = w
}

// Age is for how long a wave has been known, to this holder or one before.
func (k *Keeper) Age(number int64, now time.Duration) time.Duration {
	return now - k.waves[number].since
}

// Knows tells whether a wave has been taken in.
func (k *Keeper) Knows(number int64) bool { return k.waves[number] != nil }

// Standby names the pools whose machines run nothing.
func (k *Keeper) Standby(pools []string) {
	clear(k.standby)
	for _, p := range pools {
		k.standby[p] = true
	}
}

// Busy tells whether a wave is not completed.
func (k *Keeper) Busy() bool {
	for _, w := range k.waves {
		if !w.done {
			return true
		}
	}
	return false
}

// Machines takes in the list, as asked for at a time.
func (k *Keeper) Machines(list []gauge.Machine, asked time.Duration) {
	k.listed = asked
	k.forgetEmptied(list)
	clear(k.machines)
	for _, m := range list {
		k.machines[m.ID] = m
	}
	for _, w := range k.waves {
		for id, since := range w.down {
			m, there := k.machines[id]
			if asked > since+k.conf.Upkeep && (!there || m.State == gauge.MachineUp) {
				delete(w.down, id)
			}
		}
	}
}

// forgetEmptied drops the answers about workers that machines don't have any more.
func (k *Keeper) forgetEmptied(list []gauge.Machine) {
	for _, m := range list {
		if before, there := k.machines[m.ID]; there && before.Pool == m.Pool && before.Worker == m.Worker {
			continue
		}
		for _, w := range k.waves {
			delete(w.empty, m.ID)
		}
	}
}

// Takes tells whether a wave has chosen a machine, or it is down for one.
func (k *Keeper) Takes(machine string) bool {
	for _, w := range k.waves {
		if _, down := w.down[machine]; down || w.asked[machine] && !w.done {
			return true
		}
	}
	return false
}

// Waits tells whether a machine has its upkeep still to come.
func (k *Keeper) Waits(machine string) bool {
	for _, w := range k.waves {
		if !w.done && !w.begun[machine] && slices.Contains(w.order.Machines, machine) {
			return true
		}
	}
	return false
}

// Answered takes in an owner's answer to an ask. It tells nothing of a worker that the machine has
// got since.
func (k *Keeper) Answered(a Ask, empty bool) {
	m := k.machines[a.Machine]
	k.Emptied(a.Machine, empty && m.Pool == a.Pool && m.Worker == a.Worker)
}

// Emptied takes in an owner's answer about a machine.
func (k *Keeper) Emptied(machine string, empty bool) {
	for _, w := range k.waves {
		if w.asked[machine] {
			w.empty[machine] = empty
		}
	}
}

// Begun takes in the outcome of an order.
func (k *Keeper) Begun(b Begin, err error, now time.Duration) {
	w := k.waves[b.Wave]
	if w == nil {
		return
	}
	delete(w.empty, b.Machine)
	switch {
	case err == nil:
		w.begun[b.Machine] = true
		w.down[b.Machine] = now
		delete(w.asked, b.Machine)
	case gauge.Is(err, gauge.KindUnknown):
		// It may be carried out yet, and counts as down. The same order once
		// more is answered with "done" if it was.
		w.down[b.Machine] = now
	default:
		delete(w.down, b.Machine)
	}
	k.conf.Logs.Info("upkeep ordered", "wave", b.Wave, "machine", b.Machine, "kind", kindOf(err), "begun", len(w.begun), "of", len(w.order.Machines))
}

func kindOf(err error) gauge.Kind {
	if err == nil {
		return "ok"
	}
	return gauge.KindOf(err)
}

// Lists returns the machines that had their order, for the table.
func (k *Keeper) Lists(number int64) []string {
	w := k.waves[number]
	var ids []string
	for m := range w.begun {
		ids = append(ids, m)
	}
	slices.Sort(ids)
	return ids
}

// Completed takes in that the table says a wave is completed.
func (k *Keeper) Completed(number int64) {
	k.waves[number].done = true
	k.conf.Logs.Info("wave completed", "wave", number, "begun", len(k.waves[number].begun))
}

// Sight is what the keeper doesn't know itself.
type Sight struct {
	Moving  func(machine string) bool // it is on its way to another pool
	Ordered func(machine string) bool // the holder before has ordered it just now
	Pressed func(pool string) bool    // it has too few machines as it is
	Lasting func(worker string) int   // lasting tasks that run there; nil: not known
}

// Next says what to do now.
func (k *Keeper) Next(now time.Duration, sight Sight) Steps {
	k.sight = sight
	var s Steps
	numbers := make([]int64, 0, len(k.waves))
	for n, w := range k.waves {
		if !w.done {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		k.next(k.waves[n], now, &s)
	}
	return s
}

func (k *Keeper) next(w *wave, now time.Duration, s *Steps) {
	left := k.left(w)
	if len(left) == 0 {
		if k.listed > w.seen {
			s.Complete = append(s.Complete, w.order.Wave)
		}
		return
	}
	force := k.behind(w, len(left), now)
	for _, m := range left {
		if w.asked[m.ID] && m.State != gauge.MachineUp {
			delete(w.asked, m.ID)
			delete(w.empty, m.ID)
		}
	}
	k.choose(w, left, force)
	room := max(1, w.order.AtOnce) - len(w.down) - k.unnoted(w)
	for _, m := range left {
		if !w.asked[m.ID] {
			continue
		}
		_, tried := w.down[m.ID]
		if k.sight.Moving(m.ID) {
			continue // it may be in another pool by now, and at work
		}
		if (w.empty[m.ID] || k.standby[m.Pool]) && (room > 0 || tried) {
			if !tried {
				room--
				w.down[m.ID] = now
			}
			s.Begins = append(s.Begins, Begin{Wave: w.order.Wave, Machine: m.ID})
			continue
		}
		if !k.standby[m.Pool] {
			s.Asks = append(s.Asks, Ask{Machine: m.ID, Pool: m.Pool, Worker: m.Worker, Force: force})
		}
	}
}

// unnoted counts the machines of a wave that may be down by an order that isn't
// in the table: a holder before has sent it and could not write any more.
func (k *Keeper) unnoted(w *wave) int {
	n := 0
	for _, id := range w.order.Machines {
		if _, known := w.down[id]; known {
			continue
		}
		if m, there := k.machines[id]; there && (m.State == gauge.MachineUpkeep || k.sight.Ordered(id)) {
			n++
		}
	}
	return n
}

// left lists the machines that stay and have not begun, in a steady order.
func (k *Keeper) left(w *wave) []gauge.Machine {
	var left []gauge.Machine
	for _, id := range w.order.Machines {
		m, there := k.machines[id]
		if there && !w.begun[id] {
			left = append(left, m)
		}
	}
	slices.SortFunc(left, func(a, b gauge.Machine) int { return cmp.Compare(a.ID, b.ID) })
	return left
}

const (
	// forceAfter: from this share of a wave's time on, work that doesn't end by
	// itself is ended where the wave would be late without.
	forceAfter = 0.4
	// hurry is how long before its end a wave is late if machines are left, however few:
	// a machine with lasting tasks is emptied in three to four seconds, one task after the
	// other, and its upkeep takes as long as it takes beside.
	hurry = 6 * time.Second
)

// behind tells whether a wave gets late at the present pace.
func (k *Keeper) behind(w *wave, left int, now time.Duration) bool {
	if w.order.Within <= 0 {
		return false
	}
	if now-w.since > w.order.Within-min(hurry, w.order.Within/3) {
		return true
	}
	passed := float64(now-w.since) / float64(w.order.Within)
	done := 1 - float64(left)/float64(len(w.order.Machines))
	return passed > forceAfter && done < passed+(1-passed)*forceAfter
}

// Workers lists those of a pool's machines that a wave has yet to begin with, once they
// are empty.
func (k *Keeper) Workers(pool string) []string {
	var ids []string
	for _, w := range k.waves {
		if w.done {
			continue
		}
		for _, id := range w.order.Machines {
			if m, there := k.machines[id]; there && m.Pool == pool && m.Worker != "" && !w.begun[id] {
				ids = append(ids, m.Worker)
			}
		}
	}
	return ids
}
