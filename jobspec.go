package sapphiregauge

import (
	"strconv"
	"strings"
	"time"
)

// Resources is a worker's capacity, or the part of it that one task takes.
type Resources struct {
	MilliCPU int `msgpack:"c"` // thousandths of a core
	MemoryMB int `msgpack:"m"`
	Accels   int `msgpack:"a"`
}

// Plus returns the sum of two amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accels + o.Accels}
}

// Minus returns the difference of two amounts; it may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accels - o.Accels}
}

// Contains reports whether o fits into r.
func (r Resources) Contains(o Resources) bool {
	return o.MilliCPU <= r.MilliCPU && o.MemoryMB <= r.MemoryMB && o.Accels <= r.Accels
}

// Within reports whether r is within a limit, of which an amount of 0 is none.
func (r Resources) Within(limit Resources) bool {
	return (limit.MilliCPU == 0 || r.MilliCPU <= limit.MilliCPU) && (limit.MemoryMB == 0 || r.MemoryMB <= limit.MemoryMB) &&
		(limit.Accels == 0 || r.Accels <= limit.Accels)
}

// Times returns n times an amount.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accels * n}
}

// CoresOf returns how many cores of a host with this capacity an amount takes up: those that it
// needs, or more if its share of another resource of the host is larger. Without a known capacity
// only the cores count.
func (r Resources) CoresOf(host Resources) float64 {
	cores := float64(r.MilliCPU) / 1000
	hostCores := float64(host.MilliCPU) / 1000
	if host.MemoryMB > 0 {
		cores = max(cores, float64(r.MemoryMB)/float64(host.MemoryMB)*hostCores)
	}
	if host.Accels > 0 {
		cores = max(cores, float64(r.Accels)/float64(host.Accels)*hostCores)
	}
	return cores
}

// Step is one stage of a job: tasks of the same kind.
type Step struct {
	Count       int           `msgpack:"n"`
	Needs       Resources     `msgpack:"r"` // of each task
	Estimate    time.Duration `msgpack:"e"` // the caller's rough estimate of one task's run time
	After       []int         `msgpack:"a"` // earlier steps whose tasks must all be completed
	Checkpoints bool          `msgpack:"k"` // a stopped task can resume from its checkpoint
	Gang        bool          `msgpack:"g"` // its tasks run only all together
	SameRack    bool          `msgpack:"s"` // slower on more than one rack
	Label       string        `msgpack:"l"` // label that the worker must have
	DataRack    string        `msgpack:"d"` // slower on any other rack
	PerWorker   int           `msgpack:"w"` // most tasks of an occurrence on one worker; 0: unlimited
	// Speculative says that a task may run as two speculative copies at once; the first end counts.
	Speculative bool          `msgpack:"x"`
	LongRunning bool          `msgpack:"t"` // runs until the job is cancelled
	Image       string        `msgpack:"i"` // image of the tasks; tasks of one image behave alike
	TailTarget  time.Duration `msgpack:"v"` // bound on the tail latency of a long-running task; 0: none
	// BestEffort says that the tasks use processor time that others leave, and reserve none.
	BestEffort bool `msgpack:"f"`
	// MaxUnplaced is, for a long-running step, the most tasks that may be unplaced at a time by
	// this software's own decisions.
	MaxUnplaced int `msgpack:"u"`
}

// Reservation returns the part of a worker's capacity that a task of the step reserves.
func (s *Step) Reservation() Resources {
	if s.BestEffort {
		return Resources{MemoryMB: s.Needs.MemoryMB, Accels: s.Needs.Accels}
	}
	return s.Needs
}

// Together returns what the step needs at once: one task, or all tasks of a gang.
func (s *Step) Together() Resources {
	if s.Gang {
		return s.Needs.Times(s.Count)
	}
	return s.Needs
}

// JobSpec is a job as the caller submitted it.
type JobSpec struct {
	Payload  string        `msgpack:"p"` // for the workers; not interpreted here
	Steps    []Step        `msgpack:"s"`
	Repeats  int           `msgpack:"r"` // occurrences; 0: one, at once
	FirstAt  time.Time     `msgpack:"f"` // when occurrence 0 is due
	Interval time.Duration `msgpack:"e"` // interval between two occurrences
	Account  string        `msgpack:"o"` // client account that submitted it; empty: by a public queue
}

// Occurrences returns how often the steps are run.
func (j *JobSpec) Occurrences() int { return max(1, j.Repeats) }

// TaskCount returns how many tasks an occurrence has.
func (j *JobSpec) TaskCount() int {
	count := 0
	for i := range j.Steps {
		count += j.Steps[i].Count
	}
	return count
}

// IsScheduled reports whether the job follows a schedule.
func (j *JobSpec) IsScheduled() bool { return j.Repeats > 0 }

// DueAt returns when an occurrence may start.
func (j *JobSpec) DueAt(occurrence int) time.Time {
	return j.FirstAt.Add(time.Duration(occurrence) * j.Interval)
}

// Limits of a job, so that one request can't use up the memory of an entry. The largest step in the
// users' job sheets has 32 tasks.
const (
	MaxPayload     = 4000 // bytes
	MaxSteps       = 64
	MaxTasks       = 4096 // of all steps together
	MaxOccurrences = 100_000
	MaxSpecBytes   = 48 << 10 // of an encoded spec: a row in the table
)

// Validate returns all faults of the spec, by field.
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
	if j.Interval < 0 {
		fs.Add("intervalMs", "is negative")
	}
	total := 0
	for i := range j.Steps {
		j.Steps[i].validate(&fs, i)
		if j.Steps[i].Count <= MaxTasks {
			total += j.Steps[i].Count
		}
	}
	if total > MaxTasks {
		fs.Add("steps", "have %d tasks together, the bound is %d", total, MaxTasks)
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
			break // a body has room for very many
		}
	}
	if s.PerWorker < 0 {
		fs.Add(field("antiAffinity"), "is negative")
	}
}

// TaskID identifies one task of one occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the ID by which workers know the task.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepName returns the name by which the advice service knows the task's step.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID parses an ID returned by String.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, Errorf(KindInvalid, "task %q: want four parts", text)
	}
	t := TaskID{Job: parts[0]}
	for i, dest := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, Errorf(KindInvalid, "task %q: %q is no number from 0", text, parts[i+1])
		}
		*dest = n
	}
	return t, nil
}
