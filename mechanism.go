package sapphiregauge

import (
	"slices"
	"strings"
)

// Mechanism names a decision rule that an operator can switch off, to measure its effect on a site
// or to work without it when it does harm. No guarantee depends on one: without any of them answers
// are still complete and nothing runs twice.
type Mechanism string

// The mechanisms.
const (
	MechanismPack     Mechanism = "pack"     // tasks go to the fullest worker with room
	MechanismGather   Mechanism = "gather"   // long-running tasks of different steps go to the same workers
	MechanismScatter  Mechanism = "scatter"  // long-running tasks of one step go to different workers
	MechanismDeadline Mechanism = "deadline" // jobs with the earliest objective start first
	// MechanismTimely starts jobs that can meet their objective before those that can't.
	MechanismTimely        Mechanism = "timely"
	MechanismWorkerBackoff Mechanism = "rest"   // a worker that fails what it starts gets no tasks for a while
	MechanismDrainFirst    Mechanism = "finish" // machines that are to move finish their work first
	// MechanismRate sizes pools by the rate of arrivals as well as by the present work.
	MechanismRate    Mechanism = "rate"
	MechanismStandby Mechanism = "standby" // machines that no pool needs go to standby
	// MechanismRedirect sends a machine on its way to standby to a pool that needs it instead.
	MechanismRedirect        Mechanism = "redirect"
	MechanismOverdue         Mechanism = "overdue" // late work gets the machines that are left over
	MechanismDrainAhead      Mechanism = "early"   // a wave drains more machines than may be down
	MechanismSpareShortPools Mechanism = "spared"  // waves take no machines from pools that are short of them
	// MechanismLongDrainsFirst lets waves start with machines that have long-running tasks, also in
	// pools that are short of machines.
	MechanismLongDrainsFirst Mechanism = "chains"
	// MechanismAvoidDraining keeps long-running tasks off workers that a wave is about to drain.
	MechanismAvoidDraining Mechanism = "soon"
	MechanismRise          Mechanism = "rise" // a rise in arrivals is detected from a few of them
	// MechanismForecast sizes pools for the rate of arrivals that is expected once an ordered
	// machine has come.
	MechanismForecast Mechanism = "ahead"
	MechanismBalance  Mechanism = "balance" // leases move to hosts that hold fewer
	// MechanismSuspect lets a lease that isn't renewed be taken sooner if its holder doesn't
	// answer.
	MechanismSuspect       Mechanism = "suspect"
	MechanismKeepWhileSlow Mechanism = "calm"    // an entry that stops keeps its pools while the table is slow
	MechanismLag           Mechanism = "lag"     // an owner whose orders take long hands its pool over
	MechanismRelay         Mechanism = "relay"   // jobs are stored by the owner of their pool
	MechanismBackoff       Mechanism = "backoff" // callers retry later the longer a table outage lasts
	// MechanismShares starts what client accounts submit beyond their weight after all else.
	MechanismShares Mechanism = "shares"
	// MechanismFair orders client accounts in a full pool by what they use of it, by weight.
	MechanismFair Mechanism = "fair"
	// MechanismTriage decides by learned run times which jobs can still meet their objective.
	MechanismTriage Mechanism = "triage"
	MechanismAdmit  Mechanism = "admit"  // jobs that can't be served in time are refused
	MechanismCopies Mechanism = "copies" // runs that lag behind their step get a speculative copy
	MechanismSlow   Mechanism = "slow"   // workers that are slow or stalled get fewer starts
)

// Mechanisms lists all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		MechanismPack, MechanismGather, MechanismScatter, MechanismDeadline, MechanismTimely, MechanismWorkerBackoff, MechanismDrainFirst,
		MechanismRate, MechanismStandby, MechanismRedirect, MechanismOverdue, MechanismDrainAhead, MechanismSpareShortPools,
		MechanismLongDrainsFirst, MechanismAvoidDraining, MechanismRise, MechanismForecast,
		MechanismBalance, MechanismSuspect, MechanismKeepWhileSlow, MechanismLag, MechanismRelay, MechanismBackoff, MechanismShares,
		MechanismFair, MechanismTriage, MechanismAdmit, MechanismCopies, MechanismSlow,
	}
}

// Disabled lists the mechanisms that are switched off.
type Disabled []Mechanism

// Has reports whether a mechanism is switched off.
func (d Disabled) Has(m Mechanism) bool { return slices.Contains(d, m) }

// ParseDisabled parses mechanism names separated by commas.
func ParseDisabled(text string) (Disabled, error) {
	var disabled Disabled
	for _, name := range strings.Split(text, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		if !slices.Contains(Mechanisms(), Mechanism(name)) {
			return nil, Errorf(KindInvalid, "without: %q is none of %s", name, mechanismNames())
		}
		disabled = append(disabled, Mechanism(name))
	}
	return disabled, nil
}

func mechanismNames() string {
	names := make([]string, 0, len(Mechanisms()))
	for _, m := range Mechanisms() {
		names = append(names, string(m))
	}
	return strings.Join(names, ", ")
}
