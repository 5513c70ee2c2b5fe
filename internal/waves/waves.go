// Package waves decides which machines are drained and which start maintenance. It is a state
// machine without input or output. It guarantees that no more machines of a wave are down at once
// than the operator allows, counting unanswered orders; that a machine starts maintenance only
// after its pool's owner has reported that nothing runs there; and that a wave is completed only
// when each of its machines that is still in the fleet has started.
package waves

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
)

// Config sets up a Scheduler.
type Config struct {
	MaintenanceDuration time.Duration  // duration of a machine's maintenance
	Disabled            gauge.Disabled // mechanisms that are switched off
	Logs                logr.Logger
}

// Scheduler carries out waves. It is not safe for concurrent use.
type Scheduler struct {
	conf         Config
	waves        map[int64]*wave
	machines     map[string]gauge.Machine
	listedAt     time.Duration // when the list of machines was requested
	standbyPools map[string]bool
	view         View
}

type wave struct {
	order       gauge.MaintenanceOrder
	seenAt      time.Duration            // by this lease holder
	firstSeenAt time.Duration            // by the first lease holder
	started     map[string]bool          // as recorded in the table
	downSince   map[string]time.Duration // when a machine that may be down was sent its order
	retriedAt   map[string]time.Duration // when an order that may not have been carried out was last sent
	drained     map[string]bool          // whether nothing runs there, as the pool's owner last reported
	selected    map[string]bool          // selected to be drained
	completed   bool
}

// DrainRequest is a request to a pool's owner to drain a machine.
type DrainRequest struct {
	Machine string
	Pool    string
	Worker  string
	Force   bool // stop what doesn't end by itself
}

// MaintenanceStart is an order to start maintenance of a machine.
type MaintenanceStart struct {
	Wave    int64
	Machine string
}

// Steps are the actions to take next.
type Steps struct {
	Drains         []DrainRequest
	Starts         []MaintenanceStart
	CompletedWaves []int64
}

// New returns a Scheduler without waves.
func New(c Config) *Scheduler {
	return &Scheduler{conf: c, waves: make(map[int64]*wave), machines: make(map[string]gauge.Machine), standbyPools: make(map[string]bool)}
}

// StoredProgress is what the table has recorded of a wave.
type StoredProgress struct {
	Started []string      // machines whose order was carried out
	Done    bool          // the wave is completed
	Age     time.Duration // time since a lease holder first saw the wave
}

// AddWave adds a wave; a wave that is known already stays as it is. Past is the progress recorded
// in the table.
func (k *Scheduler) AddWave(o gauge.MaintenanceOrder, past StoredProgress, now time.Duration) {
	if k.waves[o.Wave] != nil {
		return
	}
	w := &wave{
		order: o, seenAt: now, firstSeenAt: now - past.Age, started: make(map[string]bool), downSince: make(map[string]time.Duration),
		retriedAt: make(map[string]time.Duration), drained: make(map[string]bool), selected: make(map[string]bool), completed: past.Done,
	}
	for _, m := range past.Started {
		w.started[m] = true
		// The machine may still be down: an earlier holder sent the order.
		w.downSince[m] = now
	}
	k.waves[o.Wave] = w
}

// WaveAge returns how long the wave has been known, to this lease holder or an earlier one.
func (k *Scheduler) WaveAge(number int64, now time.Duration) time.Duration {
	return now - k.waves[number].firstSeenAt
}

// HasWave reports whether the wave has been added.
func (k *Scheduler) HasWave(number int64) bool { return k.waves[number] != nil }

// SetStandbyPools sets the pools whose machines run nothing.
func (k *Scheduler) SetStandbyPools(pools []string) {
	clear(k.standbyPools)
	for _, p := range pools {
		k.standbyPools[p] = true
	}
}

// HasOpenWaves reports whether any wave is not completed.
func (k *Scheduler) HasOpenWaves() bool {
	for _, w := range k.waves {
		if !w.completed {
			return true
		}
	}
	return false
}

// SetMachines replaces the list of machines. Asked is when the list was requested.
func (k *Scheduler) SetMachines(list []gauge.Machine, asked time.Duration) {
	k.listedAt = asked
	k.dropStaleAnswers(list)
	clear(k.machines)
	for _, m := range list {
		k.machines[m.ID] = m
	}
	for _, w := range k.waves {
		for id, since := range w.downSince {
			m, listed := k.machines[id]
			if asked > since+k.conf.MaintenanceDuration && (!listed || m.State == gauge.MachineUp) {
				delete(w.downSince, id)
			}
		}
	}
}

// dropStaleAnswers drops the answers about machines that have another pool or worker by now.
func (k *Scheduler) dropStaleAnswers(list []gauge.Machine) {
	for _, m := range list {
		if before, listed := k.machines[m.ID]; listed && before.Pool == m.Pool && before.Worker == m.Worker {
			continue
		}
		for _, w := range k.waves {
			delete(w.drained, m.ID)
		}
	}
}

// IsReserved reports whether a wave has selected the machine, or the machine is down for one.
func (k *Scheduler) IsReserved(machine string) bool {
	for _, w := range k.waves {
		if _, down := w.downSince[machine]; down || w.selected[machine] && !w.completed {
			return true
		}
	}
	return false
}

// IsPending reports whether the machine has yet to start the maintenance of a wave.
func (k *Scheduler) IsPending(machine string) bool {
	for _, w := range k.waves {
		if !w.completed && !w.started[machine] && slices.Contains(w.order.Machines, machine) {
			return true
		}
	}
	return false
}

// RecordDrainAnswer records an owner's answer to a request. The answer doesn't count for a worker
// that has started on the machine since.
func (k *Scheduler) RecordDrainAnswer(a DrainRequest, empty bool) {
	m := k.machines[a.Machine]
	k.SetDrained(a.Machine, empty && m.Pool == a.Pool && m.Worker == a.Worker)
}

// SetDrained records whether nothing runs on a machine, as its pool's owner reported.
func (k *Scheduler) SetDrained(machine string, empty bool) {
	for _, w := range k.waves {
		if w.selected[machine] {
			w.drained[machine] = empty
		}
	}
}

// RecordStart records the result of an order.
func (k *Scheduler) RecordStart(b MaintenanceStart, err error, now time.Duration) {
	w := k.waves[b.Wave]
	if w == nil {
		return
	}
	delete(w.drained, b.Machine)
	switch {
	case err == nil:
		w.started[b.Machine] = true
		w.downSince[b.Machine] = now
		delete(w.selected, b.Machine)
	case gauge.IsKind(err, gauge.KindUnknown):
		// The order may still be carried out, so the machine counts as down. Sending it again is
		// safe: the platform answers "done" if it was carried out.
		w.downSince[b.Machine] = now
	default:
		delete(w.downSince, b.Machine)
	}
	k.conf.Logs.Info("upkeep ordered", "wave", b.Wave, "machine", b.Machine, "kind", resultLabel(err), "begun", len(w.started), "of", len(w.order.Machines))
}

func resultLabel(err error) gauge.Kind {
	if err == nil {
		return "ok"
	}
	return gauge.KindOf(err)
}

// StartedMachines returns the sorted machines whose order was carried out, to be recorded in the
// table.
func (k *Scheduler) StartedMachines(number int64) []string {
	w := k.waves[number]
	var started []string
	for m := range w.started {
		started = append(started, m)
	}
	slices.Sort(started)
	return started
}

// MarkCompleted records that the table has the wave as completed.
func (k *Scheduler) MarkCompleted(number int64) {
	k.waves[number].completed = true
	k.conf.Logs.Info("wave completed", "wave", number, "begun", len(k.waves[number].started))
}

// View is the state outside of the Scheduler on which its decisions depend.
type View struct {
	IsMoving         func(machine string) bool // reports whether the machine is moving to another pool
	WasOrderedBefore func(machine string) bool // reports whether the previous holder may have ordered it just now
	IsShort          func(pool string) bool    // reports whether the pool is short of machines
	LongRunningTasks func(worker string) int   // number of long-running tasks on the worker; nil: unknown
}

// Next returns what to do now.
func (k *Scheduler) Next(now time.Duration, view View) Steps {
	k.view = view
	var s Steps
	numbers := make([]int64, 0, len(k.waves))
	for n, w := range k.waves {
		if !w.completed {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		k.appendSteps(k.waves[n], now, &s)
	}
	return s
}

func (k *Scheduler) appendSteps(w *wave, now time.Duration, s *Steps) {
	left := k.remaining(w)
	if len(left) == 0 {
		if k.listedAt > w.seenAt {
			s.CompletedWaves = append(s.CompletedWaves, w.order.Wave)
		}
		return
	}
	force := k.isLate(w, len(left), now)
	for _, m := range left {
		if w.selected[m.ID] && m.State != gauge.MachineUp {
			delete(w.selected, m.ID)
			delete(w.drained, m.ID)
		}
	}
	k.selectMachines(w, left, force)
	room := max(1, w.order.MaxConcurrent) - len(w.downSince) - k.unrecorded(w)
	for _, m := range left {
		if !w.selected[m.ID] {
			continue
		}
		_, ordered := w.downSince[m.ID]
		if k.view.IsMoving(m.ID) {
			continue // it may be in another pool by now, and running tasks
		}
		if (w.drained[m.ID] || k.standbyPools[m.Pool]) && (room > 0 || ordered) {
			if !ordered {
				room--
				w.downSince[m.ID] = now
			}
			s.Starts = append(s.Starts, MaintenanceStart{Wave: w.order.Wave, Machine: m.ID})
			continue
		}
		if !k.standbyPools[m.Pool] {
			s.Drains = append(s.Drains, DrainRequest{Machine: m.ID, Pool: m.Pool, Worker: m.Worker, Force: force})
		}
	}
}

// unrecorded counts the machines of a wave that may be down by an order that isn't in the table: a
// previous holder sent it and could no longer write it down.
func (k *Scheduler) unrecorded(w *wave) int {
	n := 0
	for _, id := range w.order.Machines {
		if _, known := w.downSince[id]; known {
			continue
		}
		if m, listed := k.machines[id]; listed && (m.State == gauge.MachineInMaintenance || k.view.WasOrderedBefore(id)) {
			n++
		}
	}
	return n
}

// remaining lists the machines that are still in the fleet and have not started, sorted by ID.
func (k *Scheduler) remaining(w *wave) []gauge.Machine {
	var left []gauge.Machine
	for _, id := range w.order.Machines {
		m, listed := k.machines[id]
		if listed && !w.started[id] {
			left = append(left, m)
		}
	}
	slices.SortFunc(left, func(a, b gauge.Machine) int { return cmp.Compare(a.ID, b.ID) })
	return left
}

const (
	// forceShare is the share of a wave's time after which tasks that don't end by themselves are
	// stopped if the wave would be late otherwise.
	forceShare = 0.4
	// lateMargin is how long before the end of a wave it counts as late if any machines remain,
	// however few: a machine with long-running tasks takes three to four seconds to drain, one task
	// after the other, and its maintenance time comes on top.
	lateMargin = 6 * time.Second
)

// isLate reports whether the wave will be late at its present rate.
func (k *Scheduler) isLate(w *wave, left int, now time.Duration) bool {
	if w.order.Within <= 0 {
		return false
	}
	if now-w.firstSeenAt > w.order.Within-min(lateMargin, w.order.Within/3) {
		return true
	}
	passed := float64(now-w.firstSeenAt) / float64(w.order.Within)
	done := 1 - float64(left)/float64(len(w.order.Machines))
	return passed > forceShare && done < passed+(1-passed)*forceShare
}

// PendingWorkers lists the workers on those machines of a pool that have yet to start the
// maintenance of a wave.
func (k *Scheduler) PendingWorkers(pool string) []string {
	var workers []string
	for _, w := range k.waves {
		if w.completed {
			continue
		}
		for _, id := range w.order.Machines {
			if m, listed := k.machines[id]; listed && m.Pool == pool && m.Worker != "" && !w.started[id] {
				workers = append(workers, m.Worker)
			}
		}
	}
	return workers
}
