package lag_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/lag"
)

// Guards against jobs that wait for seconds though their pool's workers are idle: the machine of
// the pool's owner is slow, each order takes a third of a second or times out, but the owner still
// renews its lease, so that no other entry takes over.
func TestRecordReportsSlowness(t *testing.T) {
	const ms = time.Millisecond
	for _, tt := range []struct {
		name  string
		calls int
		peers int
		took  func(i int) time.Duration
		want  bool
	}{
		{"fast", 50, 5, func(int) time.Duration { return 5 * ms }, false},
		{"slow to all peers", 50, 5, func(int) time.Duration { return 300 * ms }, true},
		{"slow to one peer", 50, 1, func(int) time.Duration { return 300 * ms }, false},
		{"too few calls", 5, 5, func(int) time.Duration { return 300 * ms }, false},
		{"some slow calls", 50, 5, func(i int) time.Duration { return time.Duration(i%3/2) * 300 * ms }, false},
		{"slow calls outside the window", 50, 5, func(i int) time.Duration { return time.Duration((49-i)/40) * 300 * ms }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := lag.New(lag.Config{Window: time.Second, SlowCall: 150 * ms, MinCalls: 10, MinPeers: 3})
			slow := false
			for i := range tt.calls {
				slow = m.Record(fmt.Sprint(i%tt.peers), tt.took(i), time.Hour+time.Duration(i)*25*ms)
			}
			assert.Equal(t, slow, tt.want)
		})
	}
}

// The counts cover exactly the calls within the window.
func TestCountsOfWindow(t *testing.T) {
	m := lag.New(lag.Config{Window: time.Second, SlowCall: 150 * time.Millisecond, MinCalls: 10, MinPeers: 3})
	now := time.Hour
	for i := range 20 {
		took := time.Duration(i%2) * 300 * time.Millisecond
		m.Record(fmt.Sprint(i%4), took, now)
	}
	assert.Equal(t, m.Counts(now), lag.Counts{Calls: 20, Slow: 10, Peers: 2})
	m.Record("9", time.Second, now+600*time.Millisecond)
	assert.Equal(t, m.Counts(now+1200*time.Millisecond), lag.Counts{Calls: 1, Slow: 1, Peers: 1})
	assert.Equal(t, m.Counts(now+2*time.Second), lag.Counts{})
}
