package node

import (
	"sync"
	"time"

	gauge "sapphiregauge"
)

// knowledge is as of when this entry knows all that is in the tables that it follows. An
// entry that the table turns away, or whose link or processor is used up, goes on by what it
// was told last; without this nothing shows how old that is.
type knowledge struct {
	mu   sync.Mutex
	asOf map[string]time.Duration // by table
}

func newKnowledge() *knowledge { return &knowledge{asOf: make(map[string]time.Duration)} }

func (k *knowledge) told(table string, asOf time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asOf[table] = max(asOf, k.asOf[table])
}

// forget takes in that a table isn't followed any more.
func (k *knowledge) forget(table string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.asOf, table)
}

// age is how long ago all of a table was known; false: it never was.
func (k *knowledge) age(table string, now time.Duration) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	asOf, ok := k.asOf[table]
	if !ok {
		return 0, false
	}
	return now - asOf, true
}

// Ages is how long ago all of each table that is followed was known here.
func (n *Node) Ages() map[string]time.Duration {
	n.known.mu.Lock()
	defer n.known.mu.Unlock()
	now, ages := n.conf.Now(), make(map[string]time.Duration, len(n.known.asOf))
	for table, asOf := range n.known.asOf {
		ages[table] = now - asOf
	}
	return ages
}

// configurationAge is how long ago the configuration in force here was surely the newest.
func (n *Node) configurationAge() (time.Duration, bool) {
	return n.known.age(n.conf.Words.OperatorTable(), n.conf.Now())
}

// current tells whether a change that is in force everywhere by now would be known here. It
// holds for a configuration that is looked at after this was asked; one looked at before
// may have been replaced in between.
func (n *Node) current() bool {
	age, ok := n.configurationAge()
	return ok && age <= n.conf.Apply
}

// serves tells whether there surely is a queue.
func (n *Node) serves(queue string) bool {
	if !n.current() {
		return false
	}
	site := n.Site()
	return site != nil && site.QueueByName(queue) != nil
}

// Route finds the queue of a call by the configuration in force, and what follows its
// prefix. That there is none is said only by an entry that can know.
func (n *Node) Route(host, path string) (*gauge.Queue, string, error) {
	current := n.current()
	site := n.Serves()
	if site == nil {
		return nil, "", gauge.Fail(gauge.KindUnready, "no configuration yet")
	}
	if q, rest, ok := site.Match(host, path); ok {
		return q, rest, nil
	}
	age, _ := n.configurationAge()
	n.conf.Logs.Info("queue not found", "host", short(host), "path", short(path), "version", site.Version, "age", age, "current", current)
	if !current {
		// The queue may have been added since. A caller who is told that there is none goes
		// away for good, though all other entries would have served it.
		return nil, "", gauge.Fail(gauge.KindUnready, "whether there is such a queue isn't known at the moment")
	}
	return nil, "", gauge.Fail(gauge.KindMissing, "no such queue")
}

// loggedText bounds, in bytes, what a caller has written in a line of the log.
const loggedText = 200

func short(text string) string { return text[:min(len(text), loggedText)] }
