package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
	"sapphiregauge/internal/limit"
)

// BenchmarkParts measures a look at all parts, and the size of a row, with as many pools and accounts as the largest site
// that the users describe.
func BenchmarkParts(b *testing.B) {
	const pools, accounts = 117, 68
	site := newSite(1e6, pools, 1)
	site.Accounts = nil
	rows, versions, uses := map[string]gauge.LimitRow{}, map[string]int64{}, map[string]limit.Use{}
	for i := range accounts {
		name := fmt.Sprint("account-", i)
		site.Accounts = append(site.Accounts, gauge.ClientAccount{Name: name, Limit: cores(1e6)})
		row := gauge.LimitRow{Parts: make(map[string]gauge.LimitPart), Limit: cores(1e6), Version: 1}
		for k := range pools {
			row.Parts[poolName(k)] = gauge.LimitPart{Amount: gauge.Resources{MilliCPU: 4000, MemoryMB: 9000}, Fence: 1e6}
		}
		rows[name], versions[name], uses[name] = row, 1, limit.Use{Started: cores(3500)}
	}
	p := limit.New(limit.Config{Pool: poolName(0), Fence: 2e6, First: true, Logs: logr.Discard()})
	p.Configure(site)
	p.SetRows(rows, versions)
	writes := p.Update(uses, time.Second)
	p.Written(writes, 2)
	value, err := writes[0].Row.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		p.Update(uses, 2*time.Second)
	}
	b.ReportMetric(float64(len(value)), "B/row")
}
