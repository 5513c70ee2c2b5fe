package node

import (
	"sync"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/access"
)

// freshness records, for each table that this entry follows, the latest time at which its rows here
// were certain to be complete. An entry that the table refuses, or whose link or processor is used
// up, continues with the rows that it read last; this shows how old they are.
type freshness struct {
	mu   sync.Mutex
	asOf map[string]time.Duration // by table name, on the monotonic clock
}

func newFreshness() *freshness { return &freshness{asOf: make(map[string]time.Duration)} }

func (f *freshness) update(table string, asOf time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asOf[table] = max(asOf, f.asOf[table])
}

// remove drops a table that is no longer followed.
func (f *freshness) remove(table string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.asOf, table)
}

// age returns how long ago the rows of a table were certain to be complete. It reports false if
// they never were.
func (f *freshness) age(table string, now time.Duration) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	asOf, ok := f.asOf[table]
	if !ok {
		return 0, false
	}
	return now - asOf, true
}

// TableAges returns, for each table that this entry follows, how long ago its rows here were
// certain to be complete.
func (n *Node) TableAges() map[string]time.Duration {
	n.freshness.mu.Lock()
	defer n.freshness.mu.Unlock()
	now, ages := n.conf.Now(), make(map[string]time.Duration, len(n.freshness.asOf))
	for table, asOf := range n.freshness.asOf {
		ages[table] = now - asOf
	}
	return ages
}

// configurationAge returns how long ago the configuration in force here was certain to be the
// newest one. It reports false if it never was.
func (n *Node) configurationAge() (time.Duration, bool) {
	return n.freshness.age(n.conf.Codec.OperatorTable(), n.conf.Now())
}

// isConfigCurrent reports whether this entry has certainly learnt of every configuration change
// that has to be in force everywhere by now. The result applies to a configuration that is loaded
// after this call; one loaded before may have been replaced in between.
func (n *Node) isConfigCurrent() bool {
	age, known := n.configurationAge()
	return n.guard.IsCurrent(access.View{Age: age, Known: known})
}

// isQueueKnown reports whether a queue is certain to exist.
func (n *Node) isQueueKnown(queue string) bool {
	if !n.isConfigCurrent() {
		return false
	}
	site := n.Site()
	return site != nil && site.QueueByName(queue) != nil
}

// Admit returns what a call of a caller may reach, by the configuration in force and its age. Errors
// are those of access.Guard.
func (n *Node) Admit(c access.Call) (access.Grant, error) {
	age, known := n.configurationAge() // before the configuration is read, which may be replaced in between
	view := access.View{Site: n.ServingSite(), Age: age, Known: known, Unusable: n.configUnusable.Load()}
	grant, err := n.guard.Admit(view, c)
	if err != nil {
		n.reportRefusal(view, c, err)
	}
	return grant, err
}

// reportRefusal logs and counts a call that isn't let in, with what this entry knew.
func (n *Node) reportRefusal(v access.View, c access.Call, err error) {
	n.conf.CountEvent("call " + string(gauge.KindOf(err)))
	var version int64
	if v.Site != nil {
		version = v.Site.Version
	}
	n.conf.Logs.Info("call refused", "kind", gauge.KindOf(err), "host", truncate(c.Host), "path", truncate(c.Path), "key", c.Key != "",
		"version", version, "age", v.Age, "known", v.Known, "current", n.guard.IsCurrent(v), "reason", err.Error())
}

// accountLimit returns the most that a client account may have running, by the configuration in
// force here.
func (n *Node) accountLimit(account string) gauge.Resources {
	if site := n.Site(); site != nil {
		if a := site.AccountByName(account); a != nil {
			return a.Limit
		}
	}
	return gauge.Resources{}
}

// maxLoggedBytes bounds the texts of a caller that are logged.
const maxLoggedBytes = 200

func truncate(text string) string { return text[:min(len(text), maxLoggedBytes)] }
