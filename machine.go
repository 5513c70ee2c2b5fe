package sapphiregauge

import (
	"context"
	"time"
)

// MachineState is the state of a machine on the platform's list.
type MachineState string

// The machine states.
const (
	MachineUp            MachineState = "up"
	MachineMoving        MachineState = "moving" // to another pool
	MachineInMaintenance MachineState = "upkeep"
	MachineDown          MachineState = "down"
)

// Machine is a machine on the list of the platform's machine service. At most one worker runs on it
// at a time.
type Machine struct {
	ID       string
	Pool     string
	State    MachineState
	Zone     string
	Labels   []string
	Capacity Resources
	Worker   string // ID of the worker that runs on it; empty: none
}

// OrderIssuer identifies who orders something of a machine. The platform refuses a fencing token
// lower than one that it has seen for that machine.
type OrderIssuer struct {
	Holder string
	Fence  FencingToken
}

// Machines lists machines, moves them between pools and starts their maintenance. Move and
// StartMaintenance immediately stop everything that runs on the machine, and are idempotent.
//
// Errors by kind: KindOutage: not done; KindUnknown: it may have been done; KindFenced: a newer
// token was seen; KindBusy: the machine isn't up, or is leaving; KindNotFound: the machine doesn't
// exist or isn't part of that wave.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, issuer OrderIssuer, machine, pool string) error
	StartMaintenance(ctx context.Context, issuer OrderIssuer, machine string, wave int64) error
}

// Ticket permits the tasks of one step on one worker, until that worker is restarted.
type Ticket struct {
	Worker string
	Text   string
}

// Adviser is the service that decides which workers may run a step of a queue with Advice. It
// accepts one question at a time from each entry. Valid is how long the tickets are valid, 0 if the
// service doesn't say.
type Adviser interface {
	Advise(ctx context.Context, step string, workers []string) (tickets []Ticket, valid time.Duration, err error)
}
