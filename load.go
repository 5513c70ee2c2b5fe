package sapphiregauge

import "time"

// WorkerLoad is what runs on one worker, as its pool's owner knows.
type WorkerLoad struct {
	ID      string `msgpack:"i"`
	Runs    int    `msgpack:"r"`
	Lasting int    `msgpack:"l"` // runs of lasting tasks
	Takes   bool   `msgpack:"t"` // new runs may start there
	// Busy is how much longer the runs there go on, lasting ones aside, by estimates.
	Busy time.Duration `msgpack:"b"`
}

// Demand is an amount of work: the cores of tasks that run or could run now.
type Demand struct {
	Busy    float64 `msgpack:"b"`
	Waiting float64 `msgpack:"w"`
}

// Cores is what the demand could use at once.
func (d Demand) Cores() float64 { return d.Busy + d.Waiting }

// PoolLoad is what a pool has to do, as its owner knows.
type PoolLoad struct {
	Pool    string        `msgpack:"p"`
	Lasting float64       `msgpack:"l"` // cores of lasting tasks
	Spread  int           `msgpack:"x"` // workers that the widest lasting step needs, by its bound on tasks a worker
	Away    int           `msgpack:"y"` // lasting tasks that wait for a place
	Timely  Demand        `msgpack:"d"` // of jobs that can meet their objective
	Late    Demand        `msgpack:"e"` // of jobs that can't any more
	Arrived float64       `msgpack:"a"` // core-seconds of all jobs accepted by this owner so far
	Jobs    int           `msgpack:"j"` // how many these are
	Oldest  time.Duration `msgpack:"o"` // longest that a task has waited
	Workers []WorkerLoad  `msgpack:"s"`
}
