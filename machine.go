package sapphiregauge

import (
	"context"
	"time"
)

// MachineState is what a machine does, as the platform lists it.
type MachineState string

// The machine states.
const (
	MachineUp     MachineState = "up"
	MachineMoving MachineState = "moving" // to another pool
	MachineUpkeep MachineState = "upkeep"
	MachineDown   MachineState = "down"
)

// Machine is a host as the platform lists it. A worker is one life of it.
type Machine struct {
	ID       string
	Pool     string
	State    MachineState
	Zone     string
	Labels   []string
	Capacity Resources
	Worker   string // id of the worker that runs on it, empty if none does
}

// Duty names who orders something of a machine. The platform refuses a token
// lower than one it has seen for that machine.
type Duty struct {
	Holder string
	Fence  Fence
}

// Machines lists machines, moves them between pools and begins their upkeep.
// Both orders end everything that runs on the machine at once, and are
// idempotent.
//
// Errors by kind: KindOutage: not done; KindUnknown: it may have been done;
// KindFenced; KindBusy: the machine isn't up, or leaves; KindMissing: not of
// that wave, or no such machine.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, d Duty, machine, pool string) error
	Upkeep(ctx context.Context, d Duty, machine string, wave int64) error
}

// Ticket allows the tasks of one step on one worker, for that worker's life.
type Ticket struct {
	Worker string
	Text   string
}

// Adviser is the service that knows which workers may run a step of a queue with
// Advice. It takes one question at a time from each entry. Valid is how long the
// tickets hold, 0 if it doesn't say.
type Adviser interface {
	Advise(ctx context.Context, step string, workers []string) (tickets []Ticket, valid time.Duration, err error)
}
