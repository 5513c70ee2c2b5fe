package sapphiregauge

import (
	"maps"
	"slices"
	"strings"
)

// Change is the content of one revision: the new versions of records and hosts. A record with
// Deleted set is deleted.
type Change struct {
	Revision   int64    `json:"revision"`
	Submission string   `json:"submission,omitempty"`
	Records    []Record `json:"records,omitempty"`
	Hosts      []Host   `json:"hosts,omitempty"`
}

// State is all that is in force at one revision. It is immutable: Apply returns the next one.
type State struct {
	Revision int64
	Records  map[RecordID]Record
	ByHost   map[string]Host

	hostsByPool map[string]Hosts // sorted by ID; nil: no index
}

// WithIndex returns the state with an index of its hosts by pool, which makes InPool cheap. Apply
// maintains the index.
func (s State) WithIndex() State {
	s.hostsByPool = make(map[string]Hosts)
	for _, h := range s.Hosts() {
		s.hostsByPool[h.Pool] = append(s.hostsByPool[h.Pool], h)
	}
	return s
}

// InPool returns the hosts of one pool, sorted by ID; those without a pool for "". The caller must
// not change them.
func (s State) InPool(pool string) Hosts {
	if s.hostsByPool != nil {
		return s.hostsByPool[pool]
	}
	return s.Hosts().InPool(pool)
}

// Apply returns the state after a change. Only the next revision is accepted; any other is refused,
// so that none is skipped and none is undone.
func (s State) Apply(c Change) (State, error) {
	if c.Revision != s.Revision+1 {
		return s, Errorf(KindConflict, "state is at revision %d, change is revision %d", s.Revision, c.Revision)
	}
	next := State{Revision: c.Revision, Records: s.Records, ByHost: s.ByHost, hostsByPool: s.hostsByPool}
	if len(c.Records) > 0 {
		next.Records = mergeRecords(s.Records, c.Records)
	}
	if len(c.Hosts) > 0 {
		next.ByHost = mergeHosts(s.ByHost, c.Hosts)
		next.hostsByPool = mergePools(s, c.Hosts)
	}
	return next, nil
}

// mergePools rebuilds the index for the pools that changed hosts were or are in.
func mergePools(s State, changed []Host) map[string]Hosts {
	if s.hostsByPool == nil {
		return nil
	}
	next := maps.Clone(s.hostsByPool)
	moved := make(map[string]Host, len(changed))
	affected := make(map[string]bool)
	for _, h := range changed {
		moved[h.ID] = h
		affected[h.Pool] = true
		if old, ok := s.ByHost[h.ID]; ok {
			affected[old.Pool] = true
		}
	}
	for pool := range affected {
		next[pool] = slices.DeleteFunc(slices.Clone(next[pool]), func(h Host) bool {
			_, replaced := moved[h.ID]
			return replaced
		})
	}
	for _, h := range moved {
		next[h.Pool] = append(next[h.Pool], h)
	}
	for pool := range affected {
		slices.SortFunc(next[pool], func(a, b Host) int { return strings.Compare(a.ID, b.ID) })
	}
	return next
}

func mergeRecords(old map[RecordID]Record, changed []Record) map[RecordID]Record {
	next := make(map[RecordID]Record, len(old)+len(changed))
	maps.Copy(next, old)
	for _, r := range changed {
		if r.Deleted {
			delete(next, r.ID())
			continue
		}
		next[r.ID()] = r
	}
	return next
}

func mergeHosts(old map[string]Host, changed []Host) map[string]Host {
	next := make(map[string]Host, len(old)+len(changed))
	maps.Copy(next, old)
	for _, h := range changed {
		next[h.ID] = h
	}
	return next
}

// Pool returns a pool, or nil if there is none of that name.
func (s State) Pool(name string) *Pool {
	return s.Records[RecordID{RecordPool, name}].Pool
}

// Service returns a service, or nil if there is none of that name.
func (s State) Service(name string) *Service {
	return s.Records[RecordID{RecordService, name}].Service
}

// Team returns a team, or nil if there is none of that name.
func (s State) Team(name string) *Team {
	return s.Records[RecordID{RecordTeam, name}].Team
}

// RecordNames lists the names of the records of a kind, sorted.
func (s State) RecordNames(k RecordKind) []string {
	var names []string
	for id := range s.Records {
		if id.Kind == k {
			names = append(names, id.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Hosts lists all hosts, sorted by ID.
func (s State) Hosts() Hosts {
	hs := make(Hosts, 0, len(s.ByHost))
	for _, h := range s.ByHost {
		hs = append(hs, h)
	}
	slices.SortFunc(hs, func(a, b Host) int { return strings.Compare(a.ID, b.ID) })
	return hs
}

// Validate returns the faults in the records' references to each other.
func (s State) Validate() Faults {
	var fs Faults
	for id, r := range s.Records {
		for _, f := range s.checkReferences(r) {
			f.Record = id.String()
			fs = append(fs, f)
		}
	}
	slices.SortFunc(fs, func(a, b Fault) int { return strings.Compare(a.String(), b.String()) })
	return fs
}

func (s State) checkReferences(r Record) Faults {
	var fs Faults
	var pools []string
	switch {
	case r.Service != nil:
		pools = []string{r.Service.Pool}
	case r.Job != nil:
		pools = []string{r.Job.Pool}
	case r.Wave != nil:
		pools = r.Wave.Pools
	}
	for _, p := range pools {
		if s.Pool(p) == nil {
			fs.Add("pool", "there is no pool %q", p)
		}
	}
	return fs
}
