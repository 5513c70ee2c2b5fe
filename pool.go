package sapphiregauge

import "sapphiregauge/internal/fill"

// Preference is the goal that a pool's operators give priority.
type Preference string

// The preferences.
const (
	PreferBuffer Preference = "buffer" // hold back as few spare hosts as possible
	PreferSpeed  Preference = "speed"  // finish waves and changes as soon as possible
)

// FailureDomain is the level at which hosts fail together: rack or zone.
type FailureDomain string

// The levels of failure domains.
const (
	DomainRack FailureDomain = "rack"
	DomainZone FailureDomain = "zone"
)

// Of returns the name of the domain that a host is in. Racks of two zones may have the same name.
func (d FailureDomain) Of(h Host) string {
	if d == DomainZone {
		return h.Zone
	}
	return h.Zone + "/" + h.Rack
}

// Pool is a set of hosts with a promised capacity.
type Pool struct {
	Hosts        int           `json:"hosts"`     // hosts that must be able to work at any moment
	Objective    float64       `json:"objective"` // share of requests answered as promised, 0 to 1
	Prefer       Preference    `json:"prefer"`
	Domain       FailureDomain `json:"domain"`           // the promise holds through the loss of the worst one
	QuickReserve int           `json:"reserve"`          // slots of each worker that long work may not take
	LongReserve  int           `json:"floor"`            // slots of each worker that quick work may not take
	Zones        []string      `json:"zones,omitempty"`  // data centres to take hosts from; empty: any
	Cores        int           `json:"cores,omitempty"`  // least cores of a host
	Memory       int           `json:"memory,omitempty"` // least GiB of a host
	Accels       int           `json:"accels,omitempty"` // least accelerators of a host
}

const (
	defaultObjective    = 0.999
	defaultQuickReserve = 2
	defaultLongReserve  = 1
)

// SetDefaults sets the fields that an operator left out.
func (p *Pool) SetDefaults() {
	fill.Zero(&p.QuickReserve, defaultQuickReserve)
	fill.Zero(&p.LongReserve, defaultLongReserve)
	fill.Zero(&p.Objective, defaultObjective)
	fill.Zero(&p.Prefer, PreferBuffer)
	fill.Zero(&p.Domain, DomainRack)
}

func (p *Pool) validate(fs *Faults) {
	atLeast(fs, "hosts", p.Hosts, 0)
	if p.Objective <= 0 || p.Objective >= 1 {
		fs.Add("objective", "is %v, must lie between 0 and 1", p.Objective)
	}
	atLeast(fs, "reserve", p.QuickReserve, 0)
	atLeast(fs, "floor", p.LongReserve, 0)
	oneOf(fs, "domain", p.Domain, DomainRack, DomainZone)
	oneOf(fs, "prefer", p.Prefer, PreferBuffer, PreferSpeed)
	atLeast(fs, "cores", p.Cores, 0)
	atLeast(fs, "memory", p.Memory, 0)
	atLeast(fs, "accels", p.Accels, 0)
}

// Fits reports whether a host meets the pool's requirements.
func (p *Pool) Fits(h Host) bool {
	if h.Cores < p.Cores || h.Memory < p.Memory || h.Accels < p.Accels {
		return false
	}
	if len(p.Zones) == 0 {
		return true
	}
	for _, z := range p.Zones {
		if z == h.Zone {
			return true
		}
	}
	return false
}
