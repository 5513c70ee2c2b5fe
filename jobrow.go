package sapphiregauge

import (
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// JobState is how far a job is, as its caller sees it.
type JobState string

// The job states. The last three are final.
const (
	JobPending   JobState = "pending"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final tells whether the state never changes again.
func (s JobState) Final() bool {
	return s == JobCompleted || s == JobFailed || s == JobCancelled
}

// JobRow is what the table keeps of a job's progress. It is written by the
// owner of the job's pool, and by any entry to cancel the job; each write is
// conditional on the row's version, so that neither undoes the other's.
//
// Only facts that can't be learnt again from workers are in it: ends, how often
// a task failed or its worker crashed, the newest checkpoint of a task that isn't running. Facts only
// grow, so writing the same row twice does no harm.
type JobRow struct {
	State    JobState          `msgpack:"s"`
	Pool     string            `msgpack:"p"` // the pool that runs it, as routed when it was accepted
	Accepted int64             `msgpack:"a"` // the table's clock, milliseconds
	Ended    int64             `msgpack:"e,omitempty"`
	Done     map[int][][]byte  `msgpack:"d,omitempty"` // occurrence -> step -> bitmap of done tasks
	Over     int               `msgpack:"o,omitempty"` // occurrences below this are completed
	Failures map[string][]int  `msgpack:"f,omitempty"` // task -> runs that ended "failed"; an end told twice counts once
	Saved    map[string]string `msgpack:"c,omitempty"` // task -> checkpoint
	Trials   map[string]Trials `msgpack:"t,omitempty"` // task -> runs that may have ended their workers
	// Excused counts crashes soon after a task's start that are held against nothing: other
	// workers were lost at the same moment, or no owner may have noted them.
	Excused map[string]int `msgpack:"x,omitempty"`
	// Guessed counts those of them that no owner has seen.
	Guessed map[string]int `msgpack:"g,omitempty"`
	// Lone counts those of them that were tried apart from other jobs' tasks.
	Lone map[string]int `msgpack:"l,omitempty"`
}

// Tried lists the tasks with runs that may have ended their workers.
func (r *JobRow) Tried() []string {
	keys := slices.AppendSeq(make([]string, 0, len(r.Trials)+len(r.Excused)), maps.Keys(r.Trials))
	for key := range r.Excused {
		if _, ok := r.Trials[key]; !ok {
			keys = append(keys, key)
		}
	}
	return keys
}

// Encode packs the row.
func (r *JobRow) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(r)
	if err != nil {
		return nil, Fail(KindInternal, "job row").Because(err)
	}
	return b, nil
}

// DecodeJobRow reads what Encode wrote.
func DecodeJobRow(b []byte) (*JobRow, error) {
	r := new(JobRow)
	if err := msgpack.Unmarshal(b, r); err != nil {
		return nil, Fail(KindInvalid, "job row").Because(err)
	}
	return r, nil
}

// EncodeJobSpec packs a spec for the table.
func EncodeJobSpec(j *JobSpec) ([]byte, error) {
	b, err := msgpack.Marshal(j)
	if err != nil {
		return nil, Fail(KindInternal, "job spec").Because(err)
	}
	return b, nil
}

// DecodeJobSpec reads what EncodeJobSpec wrote.
func DecodeJobSpec(b []byte) (*JobSpec, error) {
	j := new(JobSpec)
	if err := msgpack.Unmarshal(b, j); err != nil {
		return nil, Fail(KindInvalid, "job spec").Because(err)
	}
	return j, nil
}
