package sapphiregauge

import "context"

// Jobs is the interface that callers use. Every entry offers all of it.
//
// Submit returns nil once the job is stored; an error that says "not run" means that this call has
// not stored the job and never will. Submitting twice under one ID stores one job. State returns
// the progress of a job, Cancel ends it, and Depth returns how many jobs of a queue have no task
// started.
//
// Account is the client account of the caller, empty for a public queue. A job of another account
// is reported as KindForbidden.
type Jobs interface {
	Submit(ctx context.Context, q *Queue, id string, j *JobSpec) error
	State(ctx context.Context, q *Queue, id, account string) (JobState, error)
	Cancel(ctx context.Context, q *Queue, id, account string) error
	Depth(ctx context.Context, q *Queue) (int, error)
}
