package sapphiregauge

import (
	"strconv"
	"strings"
	"time"
)

// Resources is room on a worker, or what one task takes of it.
type Resources struct {
	MilliCPU int `msgpack:"c"` // thousandths of a core
	MemoryMB int `msgpack:"m"`
	Accels   int `msgpack:"a"`
}

// Plus adds two amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accels + o.Accels}
}

// Minus subtracts an amount; the result may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accels - o.Accels}
}

// Holds tells whether an amount fits.
func (r Resources) Holds(o Resources) bool {
	return o.MilliCPU <= r.MilliCPU && o.MemoryMB <= r.MemoryMB && o.Accels <= r.Accels
}

// Step is one stage of a job: tasks of the same kind.
type Step struct {
	Count       int           `msgpack:"n"`
	Needs       Resources     `msgpack:"r"` // of each task
	Estimate    time.Duration `msgpack:"e"` // the caller's rough guess of one task's time
	After       []int         `msgpack:"a"` // earlier steps whose tasks must all be done
	Checkpoints bool          `msgpack:"k"` // a stopped task can go on from its checkpoint
	Gang        bool          `msgpack:"g"` // its tasks work only all together
	SameRack    bool          `msgpack:"s"` // slower on more than one rack
	Label       string        `msgpack:"l"` // the worker must have it
	DataRack    string        `msgpack:"d"` // slower on any other rack
	PerWorker   int           `msgpack:"w"` // most tasks of an occurrence on one worker; 0: no bound
	Copies      bool          `msgpack:"x"` // a task may run twice at once, the first end counts
	Lasts       bool          `msgpack:"t"` // runs until the job is cancelled
	Image       string        `msgpack:"i"` // tasks of one image behave alike
	TailTarget  time.Duration `msgpack:"v"` // bound on the tail of a lasting task's response times; 0: none
	Fills       bool          `msgpack:"f"` // takes processor time that others leave; not counted against room
	MaxAway     int           `msgpack:"u"` // tasks that may be away at once by our own doing, if it lasts
}

// Room is what a task of the step takes of a worker's capacity.
func (s *Step) Room() Resources {
	if s.Fills {
		return Resources{MemoryMB: s.Needs.MemoryMB, Accels: s.Needs.Accels}
	}
	return s.Needs
}

// JobSpec is a job as the caller handed it in.
type JobSpec struct {
	Payload string        `msgpack:"p"` // for the workers, not read by us
	Steps   []Step        `msgpack:"s"`
	Repeats int           `msgpack:"r"` // occurrences; 0: one, at once
	FirstAt time.Time     `msgpack:"f"` // when occurrence 0 is due
	Every   time.Duration `msgpack:"e"` // between two occurrences
}

// Occurrences is how often the steps are run.
func (j *JobSpec) Occurrences() int { return max(1, j.Repeats) }

// Timed tells whether the job follows a schedule.
func (j *JobSpec) Timed() bool { return j.Repeats > 0 }

// DueAt is when an occurrence may start.
func (j *JobSpec) DueAt(occurrence int) time.Time {
	return j.FirstAt.Add(time.Duration(occurrence) * j.Every)
}

// Bounds of a job, so that one request can't take the memory of an entry. The
// largest step seen in the users' sheets has 32 tasks.
const (
	MaxPayload     = 4000 // bytes
	MaxSteps       = 64
	MaxTasks       = 4096
	MaxOccurrences = 100_000
)

// Validate gathers all faults by field.
func (j *JobSpec) Validate() Faults {
	var fs Faults
	if len(j.Payload) > MaxPayload {
		fs.Add("spec", "is %d bytes long, the bound is %d", len(j.Payload), MaxPayload)
	}
	if len(j.Steps) == 0 {
		fs.Add("steps", "there must be at least one")
	}
	if len(j.Steps) > MaxSteps {
		fs.Add("steps", "there are %d, the bound is %d", len(j.Steps), MaxSteps)
	}
	if j.Repeats < 0 || j.Repeats > MaxOccurrences {
		fs.Add("repetitions", "is %d, must be 0 to %d", j.Repeats, MaxOccurrences)
	}
	if j.Every < 0 {
		fs.Add("intervalMs", "is negative")
	}
	for i := range j.Steps {
		j.Steps[i].validate(&fs, i)
	}
	return fs
}

func (s *Step) validate(fs *Faults, at int) {
	field := func(name string) string { return "steps[" + strconv.Itoa(at) + "]." + name }
	if s.Count < 1 || s.Count > MaxTasks {
		fs.Add(field("count"), "is %d, must be 1 to %d", s.Count, MaxTasks)
	}
	if s.Needs.MilliCPU < 0 || s.Needs.MemoryMB < 0 || s.Needs.Accels < 0 {
		fs.Add(field("cpu, memMb, gpus"), "must not be negative")
	}
	for _, a := range s.After {
		if a < 0 || a >= at {
			fs.Add(field("after"), "names step %d, must name an earlier one", a)
		}
	}
	if s.PerWorker < 0 {
		fs.Add(field("antiAffinity"), "is negative")
	}
}

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String is the form in which workers know the task.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepName is the form in which the advice service knows the task's step.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID reads what String wrote.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, Fail(KindInvalid, "task %q: want four parts", text)
	}
	t := TaskID{Job: parts[0]}
	for i, dest := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, Fail(KindInvalid, "task %q: %q is no number from 0", text, parts[i+1])
		}
		*dest = n
	}
	return t, nil
}
