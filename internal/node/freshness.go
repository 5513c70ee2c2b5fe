package node

import (
	"sync"
	"time"

	gauge "sapphiregauge"
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
	age, ok := n.configurationAge()
	return ok && age <= n.conf.MaxApplyDelay
}

// isQueueKnown reports whether a queue is certain to exist.
func (n *Node) isQueueKnown(queue string) bool {
	if !n.isConfigCurrent() {
		return false
	}
	site := n.Site()
	return site != nil && site.QueueByName(queue) != nil
}

// Route returns the queue of a call according to the configuration in force, and the rest of the
// path after the queue's prefix. Errors: KindNotFound: no queue matches, only returned by an entry
// whose configuration is current; KindUnready: this entry can't know.
func (n *Node) Route(host, path string) (*gauge.Queue, string, error) {
	current := n.isConfigCurrent()
	site := n.ServingSite()
	if site == nil {
		return nil, "", gauge.Errorf(gauge.KindUnready, "no configuration yet")
	}
	if q, rest, ok := site.Match(host, path); ok {
		return q, rest, nil
	}
	age, _ := n.configurationAge()
	n.conf.Logs.Info("queue not found", "host", truncate(host), "path", truncate(path), "version", site.Version, "age", age, "current", current)
	if !current {
		// The queue may have been added since. A caller that gets a "not found" doesn't
		// retry, although all other entries would have served it.
		return nil, "", gauge.Errorf(gauge.KindUnready, "whether there is such a queue isn't known at the moment")
	}
	return nil, "", gauge.Errorf(gauge.KindNotFound, "no such queue")
}

// maxLoggedBytes bounds the texts of a caller that are logged.
const maxLoggedBytes = 200

func truncate(text string) string { return text[:min(len(text), maxLoggedBytes)] }
