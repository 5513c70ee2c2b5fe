package sched

import "time"

// settleCopies records which of a task's runs ended as done first. The others may be copies.
func (p *Pool) settleCopies(t *task, first *run, now time.Duration) {
	if t.done {
		return
	}
	for _, r := range t.runs {
		if !r.isCopy {
			continue
		}
		r.isCopy = false
		event, line := EventCopyLost, "copy not needed"
		if r == first {
			event, line = EventCopyWon, "copy ended first"
		}
		p.conf.CountEvent(event)
		p.conf.Logs.Info(line, "job", t.id.Job, "task", t.id.String(), "run", r.number, "worker", r.worker.info.ID, "took", now-r.orderedAt)
	}
}

// endCopy records that a copy is over without a result. One that its worker refused leaves its task
// another.
func (p *Pool) endCopy(r *run) {
	if !r.isCopy {
		return
	}
	r.isCopy = false
	r.task.copied = r.attempts.listed || r.attempts.confirmed || r.unanswered || r.lost
	p.conf.CountEvent(EventCopyLost)
}

// takeCheckpoint makes a run's checkpoint the task's, and reports whether it does. Of two runs, the one
// that lags behind must not replace the checkpoint of the other.
func (t *task) takeCheckpoint(r *run, checkpoint string) bool {
	progress := 0
	if r != nil {
		progress = r.progress
	}
	if t.copied && progress < t.checkpointProgress {
		return false
	}
	t.checkpoint, t.checkpointProgress = checkpoint, progress
	return true
}
