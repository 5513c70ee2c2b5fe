package meter_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/meter"
)

func TestTableTrafficIsCountedByTableAndCall(t *testing.T) {
	m := meter.New()
	m.CountTraffic(gauge.TableTraffic{Table: "leases", Call: "feed", Sent: 40, Received: 700})
	m.CountTraffic(gauge.TableTraffic{Table: "leases", Call: "feed", Sent: 40, Received: 100})
	m.CountTraffic(gauge.TableTraffic{Table: "jobs", Call: "commit", Sent: 3000, Received: 20})
	text := scrape(m)
	for _, line := range []string{
		`sapphiregauge_table_calls_total{call="feed",table="leases"} 2`,
		`sapphiregauge_table_sent_bytes_total{call="commit",table="jobs"} 3000`,
		`sapphiregauge_table_received_bytes_total{call="feed",table="leases"} 800`,
	} {
		assert.Assert(t, strings.Contains(text, line+"\n"), text)
	}
}
