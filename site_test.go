package sapphiregauge_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// newSite returns a configuration with the given number of queues and a few special ones.
func newSite(queues int) *gauge.Site {
	s := &gauge.Site{Version: 1}
	for i := range queues {
		s.Queues = append(s.Queues, gauge.Queue{
			Name: fmt.Sprintf("r-%d", i), Host: fmt.Sprintf("host%d.example", i/10), Prefix: fmt.Sprintf("/q%d/", i%10),
		})
	}
	s.Queues = append(s.Queues,
		gauge.Queue{Name: "deep", Host: "host1.example", Prefix: "/q1/deep/"},
		gauge.Queue{Name: "shouted", Host: "HOST1.example", Prefix: "/shouted/"})
	return s
}

func TestQueuesAreFoundWithAndWithoutAnIndex(t *testing.T) {
	indexed := newSite(50)
	indexed.Index()
	for _, s := range []*gauge.Site{newSite(50), indexed} {
		for _, tt := range []struct{ host, path, queue, rest string }{
			{"host1.example", "/q1/7", "r-11", "7"},
			{"HOST1.EXAMPLE:80", "/q1/7", "r-11", "7"},
			{"host1.example", "/q1/deep/7", "deep", "7"},
			{"host1.example", "/shouted/7", "shouted", "7"},
			{"host1.example", "/none/7", "", ""},
			{"host9.example", "/q1/7", "", ""},
		} {
			q, rest, ok := s.Match(tt.host, tt.path)
			assert.Equal(t, ok, tt.queue != "", tt.path)
			if ok {
				assert.Equal(t, q.Name, tt.queue)
				assert.Equal(t, rest, tt.rest)
			}
		}
		assert.Equal(t, s.QueueByName("r-30").Host, "host3.example")
		assert.Assert(t, s.QueueByName("none") == nil)
	}
}

func BenchmarkQueueByName(b *testing.B) {
	s := newSite(1650)
	s.Index()
	for b.Loop() {
		s.QueueByName("r-1600")
	}
}

func BenchmarkMatch(b *testing.B) {
	s := newSite(1650)
	s.Index()
	for b.Loop() {
		s.Match("host160.example", "/q0/5c0e7a21d94b36f8")
	}
}

// Guards against decisions by accounts' shares on sites that have none.
func TestCapacityIsSharedOnlyByAccountsWithWeights(t *testing.T) {
	weighted, unweighted := gauge.ClientAccount{Name: "garages", Weight: 2}, gauge.ClientAccount{Name: "schools"}
	for _, tt := range []struct {
		name string
		site gauge.Site
		want bool
	}{
		{"no accounts", gauge.Site{KeysRequired: true, Contended: true}, false},
		{"no weights", gauge.Site{KeysRequired: true, Contended: true, Accounts: []gauge.ClientAccount{unweighted}}, false},
		{"one weight", gauge.Site{KeysRequired: true, Contended: true, Accounts: []gauge.ClientAccount{unweighted, weighted}}, true},
		{"no keys", gauge.Site{Contended: true, Accounts: []gauge.ClientAccount{weighted}}, false},
		{"no competition by the settings", gauge.Site{KeysRequired: true, Accounts: []gauge.ClientAccount{weighted}}, false},
	} {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, tt.site.SharesCapacity(), tt.want) })
	}
}
