package meter_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/meter"
)

// An owner's backlog is exported only while its pool is owned here.
func TestBacklogIsExportedOnlyWhileThePoolIsOwned(t *testing.T) {
	m := meter.New()
	m.SetBacklog("a", &gauge.Backlog{
		UnwrittenChanges: 3, ChangeAge: 1500 * time.Millisecond, UnacknowledgedEnds: 20, EndAge: 2 * time.Second, UnansweredStarts: 7, StartAge: 250 * time.Millisecond,
		QueuedOrders: 4, Workers: 10, SilentWorkers: 1, EndedOrders: 40, SlowOrders: 10, SlowWorkers: 2,
	})
	m.SetBacklog("b", &gauge.Backlog{})
	want := map[string]string{
		"unwritten_changes": "3", "oldest_change_seconds": "1.5", "unacknowledged_ends": "20", "oldest_end_seconds": "2",
		"unanswered_starts": "7", "oldest_start_seconds": "0.25", "queued_orders": "4", "silent_workers": "1", "slow_calls_ratio": "0.25",
	}
	text := scrape(m)
	for name, value := range want {
		assert.Assert(t, strings.Contains(text, `sapphiregauge_owner_`+name+`{pool="a"} `+value+"\n"), text)
		assert.Assert(t, strings.Contains(text, `sapphiregauge_owner_`+name+`{pool="b"} 0`+"\n"), text)
	}
	assert.Assert(t, strings.Contains(text, "sapphiregauge_owner_oldest_seconds_count 2\n"), text)
	m.SetBacklog("a", nil)
	text = scrape(m)
	assert.Assert(t, !strings.Contains(text, `pool="a"`), text)
	assert.Assert(t, strings.Contains(text, `pool="b"`), text)
}

// scrape returns the metrics as text, as a Prometheus server scrapes them.
func scrape(m *meter.Meter) string {
	answer := httptest.NewRecorder()
	promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}).ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	return answer.Body.String()
}
