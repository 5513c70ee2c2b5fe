package sapphiregauge

import (
	"slices"
	"strings"
)

// Mechanism names a way of deciding that an operator can switch off, to see what it is
// worth on a site or to go on without it when it does harm. None of them guards a
// promise: without any of them answers stay whole and nothing runs twice.
type Mechanism string

// The mechanisms.
const (
	MechanismPack     Mechanism = "pack"     // tasks go to the fullest worker with room
	MechanismGather   Mechanism = "gather"   // lasting tasks of different steps go to the same workers
	MechanismScatter  Mechanism = "scatter"  // lasting tasks of one step go to different workers
	MechanismDeadline Mechanism = "deadline" // jobs with the earliest objective start first
	MechanismTimely   Mechanism = "timely"   // jobs that can meet their objective start before those that can't
	MechanismRest     Mechanism = "rest"     // a worker that fails what it starts gets none for a while
	MechanismFinish   Mechanism = "finish"   // work is left to end on machines that are to move
	MechanismRate     Mechanism = "rate"     // pools are sized by arrivals, beside what is in sight
	MechanismStandby  Mechanism = "standby"  // machines that no pool wants go to standby
	MechanismRedirect Mechanism = "redirect" // a machine on its way to standby goes to a pool instead
	MechanismOverdue  Mechanism = "overdue"  // late work gets machines that are left over
	MechanismEarly    Mechanism = "early"    // more machines of a wave are emptied than may be down
	MechanismSpared   Mechanism = "spared"   // waves leave pools alone that have too few machines
	MechanismChains   Mechanism = "chains"   // waves begin with machines that have lasting tasks, also in pools with too few
	MechanismSoon     Mechanism = "soon"     // lasting tasks keep off workers that a wave is to empty
	MechanismRise     Mechanism = "rise"     // a rise in arrivals is told from a few of them
	MechanismAhead    Mechanism = "ahead"    // pools are sized for the rate of arrivals when a machine has come
	MechanismBalance  Mechanism = "balance"  // leases move to hosts that carry fewer
	MechanismSuspect  Mechanism = "suspect"  // a lease that isn't renewed is taken sooner if its holder doesn't answer
	MechanismCalm     Mechanism = "calm"     // an entry that stops keeps its pools while the table is slow
	MechanismLag      Mechanism = "lag"      // an owner whose orders take long hands its pool over
	MechanismRelay    Mechanism = "relay"    // jobs are stored by the owner of their pool
	MechanismBackoff  Mechanism = "backoff"  // callers come back the later the longer the table is away
)

// Mechanisms lists all that can be switched off.
func Mechanisms() []Mechanism {
	return []Mechanism{
		MechanismPack, MechanismGather, MechanismScatter, MechanismDeadline, MechanismTimely, MechanismRest, MechanismFinish,
		MechanismRate, MechanismStandby, MechanismRedirect, MechanismOverdue, MechanismEarly, MechanismSpared,
		MechanismChains, MechanismSoon, MechanismRise, MechanismAhead,
		MechanismBalance, MechanismSuspect, MechanismCalm, MechanismLag, MechanismRelay, MechanismBackoff,
	}
}

// Without names the mechanisms that are switched off.
type Without []Mechanism

// Has tells whether a mechanism is switched off.
func (w Without) Has(m Mechanism) bool { return slices.Contains(w, m) }

// ParseWithout reads names, joined by commas.
func ParseWithout(text string) (Without, error) {
	var w Without
	for _, name := range strings.Split(text, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		if !slices.Contains(Mechanisms(), Mechanism(name)) {
			return nil, Fail(KindInvalid, "without: %q is none of %s", name, listed())
		}
		w = append(w, Mechanism(name))
	}
	return w, nil
}

func listed() string {
	names := make([]string, 0, len(Mechanisms()))
	for _, m := range Mechanisms() {
		names = append(names, string(m))
	}
	return strings.Join(names, ", ")
}
