package whole_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/apply"
)

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// usage returns what a process has used: processor time in seconds and resident memory in MiB.
func (p *process) usage(b *testing.B) (cpu, memory float64) {
	b.Helper()
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	assert.NilError(b, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')'):]))
	const user, system = 12, 13
	u, _ := strconv.ParseFloat(fields[user], 64)
	k, _ := strconv.ParseFloat(fields[system], 64)
	statm, err := os.ReadFile(dir + "statm")
	assert.NilError(b, err)
	pages, _ := strconv.ParseFloat(strings.Fields(string(statm))[1], 64)
	return (u + k) / ticksPerSecond, pages * float64(os.Getpagesize()) / (1 << 20)
}

// BenchmarkIdle measures what an entry uses for control alone, with its default settings and no
// requests.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []struct{ entries, workers int }{{2, 10}, {4, 25}, {8, 50}} {
		b.Run(fmt.Sprintf("entries=%d/workers=%d", n.entries, n.workers), func(b *testing.B) {
			for b.Loop() {
				s := newSiteWith(b, n.entries, n.workers, nil)
				s.waitInForce(s.apply(apply.File{Name: "records.yaml", Text: records}).Revision)
				s.entries[0].waitServed(b)
				before, _ := s.entries[0].usage(b)
				began := time.Now()
				time.Sleep(10 * time.Second)
				after, memory := s.entries[0].usage(b)
				b.ReportMetric(100*(after-before)/time.Since(began).Seconds(), "percent-of-core")
				b.ReportMetric(memory, "MiB")
			}
		})
	}
}
