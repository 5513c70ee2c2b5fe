package meter_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/meter"
)

// How old what is known of a table is, is told as of the scrape, and no longer than the
// table is followed.
func TestAgesOfFollowedTablesAreToldAsOfTheScrape(t *testing.T) {
	m := meter.New()
	ages := map[string]time.Duration{"leases": 250 * time.Millisecond, "workers": time.Second}
	m.Followed(func() map[string]time.Duration { return ages })
	text := scrape(m)
	assert.Assert(t, strings.Contains(text, `sapphiregauge_followed_age_seconds{table="leases"} 0.25`+"\n"), text)
	assert.Assert(t, strings.Contains(text, `sapphiregauge_followed_age_seconds{table="workers"} 1`+"\n"), text)
	ages = map[string]time.Duration{"leases": 2 * time.Second}
	text = scrape(m)
	assert.Assert(t, strings.Contains(text, `sapphiregauge_followed_age_seconds{table="leases"} 2`+"\n"), text)
	assert.Assert(t, !strings.Contains(text, `table="workers"`), text)
}
