// Package waves decides which machines are drained and which start maintenance. It is a state
// machine without input or output. It guarantees that no more machines of a wave are down at once
// than the operator allows, counting unanswered orders; that a machine starts maintenance only
// after its pool's owner has reported that nothing runs there; and that a wave is completed only
// when each of its machines that is still in the fleet has started maintenance.
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
	spec        gauge.MaintenanceWave
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

// AddWave adds a wave; a wave that is known already stays as it is. Stored is its progress as
// recorded in the table.
func (s *Scheduler) AddWave(spec gauge.MaintenanceWave, stored StoredProgress, now time.Duration) {
	if s.waves[spec.Wave] != nil {
		return
	}
	w := &wave{
		spec: spec, seenAt: now, firstSeenAt: now - stored.Age, started: make(map[string]bool), downSince: make(map[string]time.Duration),
		retriedAt: make(map[string]time.Duration), drained: make(map[string]bool), selected: make(map[string]bool), completed: stored.Done,
	}
	for _, m := range stored.Started {
		w.started[m] = true
		// The machine may still be down: an earlier holder sent the order.
		w.downSince[m] = now
	}
	s.waves[spec.Wave] = w
}

// WaveAge returns how long the wave has been known, to this lease holder or an earlier one.
func (s *Scheduler) WaveAge(number int64, now time.Duration) time.Duration {
	return now - s.waves[number].firstSeenAt
}

// HasWave reports whether the wave has been added.
func (s *Scheduler) HasWave(number int64) bool { return s.waves[number] != nil }

// SetStandbyPools sets the pools whose machines run nothing.
func (s *Scheduler) SetStandbyPools(pools []string) {
	clear(s.standbyPools)
	for _, p := range pools {
		s.standbyPools[p] = true
	}
}

// HasOpenWaves reports whether any wave is not completed.
func (s *Scheduler) HasOpenWaves() bool {
	for _, w := range s.waves {
		if !w.completed {
			return true
		}
	}
	return false
}

// SetMachines replaces the list of machines. RequestedAt is when the list was requested.
func (s *Scheduler) SetMachines(list []gauge.Machine, requestedAt time.Duration) {
	s.listedAt = requestedAt
	s.dropStaleAnswers(list)
	clear(s.machines)
	for _, m := range list {
		s.machines[m.ID] = m
	}
	for _, w := range s.waves {
		for id, since := range w.downSince {
			m, listed := s.machines[id]
			if requestedAt > since+s.conf.MaintenanceDuration && (!listed || m.State == gauge.MachineUp) {
				delete(w.downSince, id)
			}
		}
	}
}

// dropStaleAnswers drops the answers about machines that have another pool or worker by now.
func (s *Scheduler) dropStaleAnswers(list []gauge.Machine) {
	for _, m := range list {
		if before, listed := s.machines[m.ID]; listed && before.Pool == m.Pool && before.Worker == m.Worker {
			continue
		}
		for _, w := range s.waves {
			delete(w.drained, m.ID)
		}
	}
}

// IsReserved reports whether a wave has selected the machine, or the machine is down for one.
func (s *Scheduler) IsReserved(machine string) bool {
	for _, w := range s.waves {
		if _, down := w.downSince[machine]; down || w.selected[machine] && !w.completed {
			return true
		}
	}
	return false
}

// IsPending reports whether the machine has yet to start the maintenance of a wave.
func (s *Scheduler) IsPending(machine string) bool {
	for _, w := range s.waves {
		if !w.completed && !w.started[machine] && slices.Contains(w.spec.Machines, machine) {
			return true
		}
	}
	return false
}

// RecordDrainAnswer records an owner's answer to a request. The answer doesn't count for a worker
// that has started on the machine since.
func (s *Scheduler) RecordDrainAnswer(request DrainRequest, drained bool) {
	m := s.machines[request.Machine]
	s.SetDrained(request.Machine, drained && m.Pool == request.Pool && m.Worker == request.Worker)
}

// SetDrained records whether nothing runs on a machine, as its pool's owner reported.
func (s *Scheduler) SetDrained(machine string, drained bool) {
	for _, w := range s.waves {
		if w.selected[machine] {
			w.drained[machine] = drained
		}
	}
}

// RecordStart records the result of an order.
func (s *Scheduler) RecordStart(start MaintenanceStart, err error, now time.Duration) {
	w := s.waves[start.Wave]
	if w == nil {
		return
	}
	delete(w.drained, start.Machine)
	switch {
	case err == nil:
		w.started[start.Machine] = true
		w.downSince[start.Machine] = now
		delete(w.selected, start.Machine)
	case gauge.IsKind(err, gauge.KindUnknown):
		// The order may still be carried out, so the machine counts as down. Sending it again is
		// safe: the platform answers "done" if it was carried out.
		w.downSince[start.Machine] = now
	default:
		delete(w.downSince, start.Machine)
	}
	s.conf.Logs.Info("upkeep ordered", "wave", start.Wave, "machine", start.Machine, "kind", resultLabel(err), "begun", len(w.started), "of", len(w.spec.Machines))
}

func resultLabel(err error) gauge.Kind {
	if err == nil {
		return "ok"
	}
	return gauge.KindOf(err)
}

// StartedMachines returns the sorted machines whose order was carried out, to be recorded in the
// table.
func (s *Scheduler) StartedMachines(number int64) []string {
	w := s.waves[number]
	var started []string
	for m := range w.started {
		started = append(started, m)
	}
	slices.Sort(started)
	return started
}

// MarkCompleted records that the table has the wave as completed.
func (s *Scheduler) MarkCompleted(number int64) {
	s.waves[number].completed = true
	s.conf.Logs.Info("wave completed", "wave", number, "begun", len(s.waves[number].started))
}

// View is the state outside of the Scheduler on which its decisions depend.
type View struct {
	IsMoving         func(machine string) bool // reports whether the machine is moving to another pool
	WasOrderedBefore func(machine string) bool // reports whether the previous holder may have ordered it just now
	IsShort          func(pool string) bool    // reports whether the pool is short of machines
	LongRunningTasks func(worker string) int   // number of long-running tasks on the worker; nil: unknown
}

// Next returns what to do now.
func (s *Scheduler) Next(now time.Duration, view View) Steps {
	s.view = view
	var steps Steps
	numbers := make([]int64, 0, len(s.waves))
	for n, w := range s.waves {
		if !w.completed {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		s.appendSteps(s.waves[n], now, &steps)
	}
	return steps
}

func (s *Scheduler) appendSteps(w *wave, now time.Duration, steps *Steps) {
	left := s.remaining(w)
	if len(left) == 0 {
		if s.listedAt > w.seenAt {
			steps.CompletedWaves = append(steps.CompletedWaves, w.spec.Wave)
		}
		return
	}
	force := s.isLate(w, len(left), now)
	for _, m := range left {
		if w.selected[m.ID] && m.State != gauge.MachineUp {
			delete(w.selected, m.ID)
			delete(w.drained, m.ID)
		}
	}
	s.selectMachines(w, left, force)
	room := max(1, w.spec.MaxConcurrent) - len(w.downSince) - s.unrecorded(w)
	for _, m := range left {
		if !w.selected[m.ID] {
			continue
		}
		_, ordered := w.downSince[m.ID]
		if s.view.IsMoving(m.ID) {
			continue // it may be in another pool by now, and running tasks
		}
		if (w.drained[m.ID] || s.standbyPools[m.Pool]) && (room > 0 || ordered) {
			if !ordered {
				room--
				w.downSince[m.ID] = now
			}
			steps.Starts = append(steps.Starts, MaintenanceStart{Wave: w.spec.Wave, Machine: m.ID})
			continue
		}
		if !s.standbyPools[m.Pool] {
			steps.Drains = append(steps.Drains, DrainRequest{Machine: m.ID, Pool: m.Pool, Worker: m.Worker, Force: force})
		}
	}
}

// unrecorded counts the machines of a wave that may be down by an order that isn't in the table: a
// previous holder sent it but could no longer record it.
func (s *Scheduler) unrecorded(w *wave) int {
	n := 0
	for _, id := range w.spec.Machines {
		if _, known := w.downSince[id]; known {
			continue
		}
		if m, listed := s.machines[id]; listed && (m.State == gauge.MachineInMaintenance || s.view.WasOrderedBefore(id)) {
			n++
		}
	}
	return n
}

// remaining lists the machines that are still in the fleet and have not started, sorted by ID.
func (s *Scheduler) remaining(w *wave) []gauge.Machine {
	var left []gauge.Machine
	for _, id := range w.spec.Machines {
		m, listed := s.machines[id]
		if listed && !w.started[id] {
			left = append(left, m)
		}
	}
	slices.SortFunc(left, func(a, b gauge.Machine) int { return cmp.Compare(a.ID, b.ID) })
	return left
}

const (
	// forceShare is the share of a wave's time after which tasks that don't end by themselves are
	// stopped if the wave would be late otherwise. It would be late if its progress isn't ahead of
	// the elapsed time by at least the same share of the remaining time.
	forceShare = 0.4
	// lateMargin is how long before the end of a wave it counts as late if any machines remain,
	// however few: a machine with long-running tasks takes three to four seconds to drain, one task
	// after the other, and its maintenance time comes on top.
	lateMargin = 6 * time.Second
)

// isLate reports whether the wave is about to end, or its progress is too small to end in time.
func (s *Scheduler) isLate(w *wave, left int, now time.Duration) bool {
	if w.spec.Within <= 0 {
		return false
	}
	if now-w.firstSeenAt > w.spec.Within-min(lateMargin, w.spec.Within/3) {
		return true
	}
	passed := float64(now-w.firstSeenAt) / float64(w.spec.Within)
	done := 1 - float64(left)/float64(len(w.spec.Machines))
	return passed > forceShare && done < passed+(1-passed)*forceShare
}

// PendingWorkers lists the workers on those machines of a pool that have yet to start the
// maintenance of a wave.
func (s *Scheduler) PendingWorkers(pool string) []string {
	var workers []string
	for _, w := range s.waves {
		if w.completed {
			continue
		}
		for _, id := range w.spec.Machines {
			if m, listed := s.machines[id]; listed && m.Pool == pool && m.Worker != "" && !w.started[id] {
				workers = append(workers, m.Worker)
			}
		}
	}
	return workers
}
