package sapphiregauge

import "time"

// WorkerLoad is what runs on one worker, as its pool's owner reports it.
type WorkerLoad struct {
	ID          string `msgpack:"i"`
	Runs        int    `msgpack:"r"`
	LongRunning int    `msgpack:"l"` // runs of long-running tasks
	AcceptsRuns bool   `msgpack:"t"` // new runs may start there
	// RemainingTime is the estimated remaining time of the runs there, long-running ones excluded.
	RemainingTime time.Duration `msgpack:"b"`
}

// IsIdle reports whether nothing runs on the worker and new runs may start there.
func (l WorkerLoad) IsIdle() bool { return l.Runs == 0 && l.AcceptsRuns }

// Demand is an amount of work: the cores of tasks that run (RunningCores) or could run now
// (WaitingCores).
type Demand struct {
	RunningCores float64 `msgpack:"b"`
	WaitingCores float64 `msgpack:"w"`
}

// Cores returns the number of cores that the demand could use now.
func (d Demand) Cores() float64 { return d.RunningCores + d.WaitingCores }

// PoolLoad is the work of a pool, as its owner reports it.
type PoolLoad struct {
	Pool             string  `msgpack:"p"`
	LongRunningCores float64 `msgpack:"l"` // cores of long-running tasks
	// LongRunningRoom is the cores of workers that long-running tasks take up, also by their memory
	// and accelerators.
	LongRunningRoom float64 `msgpack:"m"`
	// MinWorkers is the number of workers that the widest long-running step needs, given its bound
	// on tasks per worker.
	MinWorkers         int           `msgpack:"x"`
	Unplaced           int           `msgpack:"y"` // long-running tasks that wait for a worker
	Timely             Demand        `msgpack:"d"` // of jobs that can still meet their objective
	Late               Demand        `msgpack:"e"` // of jobs that can't any more
	ArrivedCoreSeconds float64       `msgpack:"a"` // core-seconds of all jobs that this owner has accepted so far
	ArrivedJobs        int           `msgpack:"j"` // number of these jobs
	LongestWait        time.Duration `msgpack:"o"` // longest time that a task has waited
	// Workers lists the workers that aren't idle: most of a large pool's workers are, and the fleet
	// lease holder asks for loads several times a second.
	Workers []WorkerLoad `msgpack:"s"`
}
