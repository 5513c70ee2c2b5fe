package meter_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/meter"
)

// The age of a followed table is that at the time of the scrape, and is exported only while the
// table is followed.
func TestAgesOfFollowedTablesAreCurrentAtEachScrape(t *testing.T) {
	m := meter.New()
	ages := map[string]time.Duration{"leases": 250 * time.Millisecond, "workers": time.Second}
	m.RegisterTableAges(func() map[string]time.Duration { return ages })
	text := scrape(m)
	assert.Assert(t, strings.Contains(text, `sapphiregauge_followed_age_seconds{table="leases"} 0.25`+"\n"), text)
	assert.Assert(t, strings.Contains(text, `sapphiregauge_followed_age_seconds{table="workers"} 1`+"\n"), text)
	ages = map[string]time.Duration{"leases": 2 * time.Second}
	text = scrape(m)
	assert.Assert(t, strings.Contains(text, `sapphiregauge_followed_age_seconds{table="leases"} 2`+"\n"), text)
	assert.Assert(t, !strings.Contains(text, `table="workers"`), text)
}
