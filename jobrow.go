package sapphiregauge

import (
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// JobState is the progress of a job as its caller sees it.
type JobState string

// The job states. Completed, failed and cancelled are final.
const (
	JobPending   JobState = "pending"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	// JobRefused is the state of a row that records a refusal for lack of capacity. Such a row isn't
	// a job: callers are told that there is none, owners don't adopt it, and a later submission of
	// the id may replace it. It has no spec and no open mark; Ended is the time of the refusal.
	JobRefused JobState = "refused"
)

// IsFinal reports whether the state never changes again.
func (s JobState) IsFinal() bool {
	return s == JobCompleted || s == JobFailed || s == JobCancelled
}

// JobRow is the stored progress of a job. It is written by the owner of the job's pool, and by any
// entry to cancel the job; each write is conditional on the row's version, so that neither
// overwrites the other.
//
// It holds only facts that workers can't report again: ended runs, how often a task failed or its
// worker crashed, and the newest checkpoint of a task that isn't running. Facts are only added, so
// writing the same row twice does no harm.
type JobRow struct {
	State JobState `msgpack:"s"`
	// Pool is the pool that runs the job, as routed when it was accepted.
	Pool     string `msgpack:"p"`
	Account  string `msgpack:"k,omitempty"` // client account that submitted it; empty: by a public queue
	Accepted int64  `msgpack:"a"`           // by the table's clock, in milliseconds
	Ended    int64  `msgpack:"e,omitempty"`
	// Tombstone marks a job that was cancelled before it was stored, in state JobCancelled. It keeps
	// a submission that is still under way from being stored. Until the job is submitted again,
	// callers are told that there is none.
	Tombstone bool `msgpack:"b,omitempty"`
	// Done maps occurrence -> step -> bitmap of completed tasks.
	Done                 map[int][][]byte `msgpack:"d,omitempty"`
	CompletedOccurrences int              `msgpack:"o,omitempty"` // occurrences below this one are completed
	// Failures maps task -> runs that ended "failed"; an end reported twice counts once.
	Failures    map[string][]int  `msgpack:"f,omitempty"`
	Checkpoints map[string]string `msgpack:"c,omitempty"` // task -> checkpoint
	// SuspectRuns maps task -> runs that may have crashed their workers.
	SuspectRuns map[string]SuspectRuns `msgpack:"t,omitempty"`
	// Unattributed counts crashes soon after a task's start that aren't attributed to it: other
	// workers were lost at the same moment, or no owner may have recorded them.
	Unattributed map[string]int `msgpack:"x,omitempty"`
	// Presumed counts those of the unattributed crashes that no owner has seen.
	Presumed map[string]int `msgpack:"g,omitempty"`
	// UnattributedCrashes counts those of the unattributed crashes whose workers are known to be over.
	UnattributedCrashes map[string]int `msgpack:"w,omitempty"`
	// UnattributedIsolated counts those of the unattributed crashes whose runs were isolated from
	// other jobs' tasks.
	UnattributedIsolated map[string]int `msgpack:"l,omitempty"`
}

// IsJob reports whether the row is that of a job, which callers are told of.
func (r *JobRow) IsJob() bool { return r.State != JobRefused && !r.Tombstone }

// IsDone reports whether a task is marked as completed in Done.
func (r *JobRow) IsDone(occurrence, step, index int) bool {
	steps := r.Done[occurrence]
	return step < len(steps) && index/8 < len(steps[step]) && steps[step][index/8]&(1<<(index%8)) != 0
}

// JobStatus is what callers may learn of a job.
type JobStatus struct {
	State   JobState `msgpack:"s"`           // empty: the job isn't known
	Account string   `msgpack:"k,omitempty"` // client account that submitted it; empty: by a public queue
}

// MayAccess reports whether a call of a client account may reach a job of another. A call by a
// public queue has no account, nor has a job that came by one.
func MayAccess(caller, submitter string) bool {
	return caller == "" || submitter == "" || caller == submitter
}

// SuspectTasks lists the tasks with runs that may have crashed their workers.
func (r *JobRow) SuspectTasks() []string {
	keys := slices.AppendSeq(make([]string, 0, len(r.SuspectRuns)+len(r.Unattributed)), maps.Keys(r.SuspectRuns))
	for key := range r.Unattributed {
		if _, ok := r.SuspectRuns[key]; !ok {
			keys = append(keys, key)
		}
	}
	return keys
}

// Encode marshals the row for the table.
func (r *JobRow) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(r)
	if err != nil {
		return nil, Errorf(KindInternal, "job row").WithCause(err)
	}
	return b, nil
}

// DecodeJobRow decodes a row written by Encode.
func DecodeJobRow(b []byte) (*JobRow, error) {
	r := new(JobRow)
	if err := msgpack.Unmarshal(b, r); err != nil {
		return nil, Errorf(KindInvalid, "job row").WithCause(err)
	}
	return r, nil
}

// EncodeJobSpec marshals a spec for the table.
func EncodeJobSpec(j *JobSpec) ([]byte, error) {
	b, err := msgpack.Marshal(j)
	if err != nil {
		return nil, Errorf(KindInternal, "job spec").WithCause(err)
	}
	return b, nil
}

// DecodeJobSpec decodes a spec written by EncodeJobSpec.
func DecodeJobSpec(b []byte) (*JobSpec, error) {
	j := new(JobSpec)
	if err := msgpack.Unmarshal(b, j); err != nil {
		return nil, Errorf(KindInvalid, "job spec").WithCause(err)
	}
	return j, nil
}
