package node_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/frame"
	"sapphiregauge/internal/node"
)

// olderLoadCall is the call of entries that know nothing of reachable cores.
type olderLoadCall struct {
	Pool           string   `msgpack:"p"`
	UpcomingDrains []string `msgpack:"s,omitempty"`
}

func convert(t *testing.T, from, to any) {
	t.Helper()
	body, err := frame.Encode(from)
	assert.NilError(t, err)
	assert.NilError(t, frame.Decode(body, to))
}

// Guards against calls for a pool's load that fail while entries of two versions run: from then on
// no pool would be resized.
func TestLoadCallsBetweenVersions(t *testing.T) {
	var received node.LoadCall
	convert(t, &olderLoadCall{Pool: "a", UpcomingDrains: []string{"w1"}}, &received)
	assert.DeepEqual(t, received, node.LoadCall{Pool: "a", UpcomingDrains: []string{"w1"}})

	var older olderLoadCall
	convert(t, &node.LoadCall{Pool: "a", UpcomingDrains: []string{"w1"}, ReachableMilliCPU: 16000}, &older)
	assert.DeepEqual(t, older, olderLoadCall{Pool: "a", UpcomingDrains: []string{"w1"}})

	received = node.LoadCall{}
	convert(t, &node.LoadCall{Pool: "a", ReachableMilliCPU: 16000}, &received)
	assert.Equal(t, received.ReachableMilliCPU, 16000)

	unknown, err := frame.Encode(&node.LoadCall{Pool: "a"})
	assert.NilError(t, err)
	old, err := frame.Encode(&olderLoadCall{Pool: "a"})
	assert.NilError(t, err)
	assert.DeepEqual(t, unknown, old)
}
