package sapphiregauge

import "context"

// Jobs is what callers can do. Every entry offers all of it.
//
// Submit returns nil once the job is stored; an error that says "not run" means
// that it is not stored and never will be by this call. A job handed in twice
// under one id is one job.
type Jobs interface {
	Submit(ctx context.Context, q *Queue, id string, j *JobSpec) error
	State(ctx context.Context, q *Queue, id string) (JobState, error)
	Cancel(ctx context.Context, q *Queue, id string) error
	Depth(ctx context.Context, q *Queue) (int, error)
}
