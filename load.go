package sapphiregauge

import "time"

// WorkerLoad is what runs on one worker, as its pool's owner reports it.
type WorkerLoad struct {
	ID      string `msgpack:"i"`
	Runs    int    `msgpack:"r"`
	Lasting int    `msgpack:"l"` // runs of long-running tasks
	Takes   bool   `msgpack:"t"` // new runs may start there
	// Busy is the estimated remaining time of the runs there, long-running ones excluded.
	Busy time.Duration `msgpack:"b"`
}

// Demand is an amount of work: the cores of tasks that run (Busy) or could run now (Waiting).
type Demand struct {
	Busy    float64 `msgpack:"b"`
	Waiting float64 `msgpack:"w"`
}

// Cores returns the number of cores that the demand could use now.
func (d Demand) Cores() float64 { return d.Busy + d.Waiting }

// PoolLoad is the work of a pool, as its owner reports it.
type PoolLoad struct {
	Pool    string        `msgpack:"p"`
	Lasting float64       `msgpack:"l"` // cores of long-running tasks
	Spread  int           `msgpack:"x"` // workers that the widest long-running step needs, given its bound on tasks per worker
	Away    int           `msgpack:"y"` // long-running tasks that wait for a worker
	Timely  Demand        `msgpack:"d"` // of jobs that can still meet their objective
	Late    Demand        `msgpack:"e"` // of jobs that can't any more
	Arrived float64       `msgpack:"a"` // core-seconds of all jobs that this owner has accepted so far
	Jobs    int           `msgpack:"j"` // number of these jobs
	Oldest  time.Duration `msgpack:"o"` // longest time that a task has waited
	Workers []WorkerLoad  `msgpack:"s"`
}
