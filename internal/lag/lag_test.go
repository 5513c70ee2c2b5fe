package lag_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/lag"
)

// Symptom: jobs of a pool wait for seconds though its workers are idle.
// Sequence: the machine of its owner turns slow; each order takes a third of a
// second, or is given up.
// Cause: the owner renews its lease all the same, so that nobody takes over.
func TestLag(t *testing.T) {
	const ms = time.Millisecond
	for _, tt := range []struct {
		name  string
		calls int
		peers int
		took  func(i int) time.Duration
		want  bool
	}{
		{"in time", 50, 5, func(int) time.Duration { return 5 * ms }, false},
		{"slow, to all", 50, 5, func(int) time.Duration { return 300 * ms }, true},
		{"slow, to one of them", 50, 1, func(int) time.Duration { return 300 * ms }, false},
		{"a few calls", 5, 5, func(int) time.Duration { return 300 * ms }, false},
		{"slow at times", 50, 5, func(i int) time.Duration { return time.Duration(i%3/2) * 300 * ms }, false},
		{"slow some time ago", 50, 5, func(i int) time.Duration { return time.Duration((49-i)/40) * 300 * ms }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := lag.New(lag.Config{Window: time.Second, Slow: 150 * ms, Calls: 10, Peers: 3})
			lags := false
			for i := range tt.calls {
				lags = m.Note(fmt.Sprint(i%tt.peers), tt.took(i), time.Hour+time.Duration(i)*25*ms)
			}
			assert.Equal(t, lags, tt.want)
		})
	}
}

// What is told of the window is what is in it, by whatever calls it was filled.
func TestSeen(t *testing.T) {
	m := lag.New(lag.Config{Window: time.Second, Slow: 150 * time.Millisecond, Calls: 10, Peers: 3})
	now := time.Hour
	for i := range 20 {
		took := time.Duration(i%2) * 300 * time.Millisecond
		m.Note(fmt.Sprint(i%4), took, now)
	}
	assert.Equal(t, m.Seen(now), lag.Seen{Calls: 20, Slow: 10, Peers: 2})
	m.Note("9", time.Second, now+600*time.Millisecond)
	assert.Equal(t, m.Seen(now+1200*time.Millisecond), lag.Seen{Calls: 1, Slow: 1, Peers: 1})
	assert.Equal(t, m.Seen(now+2*time.Second), lag.Seen{})
}
