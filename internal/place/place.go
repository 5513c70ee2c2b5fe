// Package place tells which jobs can never run: no host that their pool may
// have is large enough, however empty. It says by what they fail, so that an
// operator learns it when the record is applied and not from a queue that never
// moves.
package place

import (
	"fmt"

	gauge "sapphiregauge"
)

// Placer looks at jobs and hosts.
type Placer struct{}

// New makes a Placer.
func New() *Placer { return &Placer{} }

// need is one dimension of a job.
type need struct {
	name string
	want int
	has  func(gauge.Host) int
}

// Never lists the jobs of a state that fit no host, one sentence each. A fleet
// of which no host is known yet proves nothing.
func (p *Placer) Never(s gauge.State) []string {
	if len(s.ByHost) == 0 {
		return nil
	}
	var out []string
	for _, name := range s.Names(gauge.RecordJob) {
		job := s.Records[gauge.RecordID{Kind: gauge.RecordJob, Name: name}].Job
		pool := s.Pool(job.Pool)
		if pool == nil {
			continue // told by State.Validate
		}
		if why := never(s, job, pool); why != "" {
			out = append(out, fmt.Sprintf("job/%s can never run: %s", name, why))
		}
	}
	return out
}

func never(s gauge.State, job *gauge.Job, pool *gauge.Pool) string {
	needs := []need{
		{"cores", job.Cores, func(h gauge.Host) int { return h.Cores }},
		{"memory", job.Memory, func(h gauge.Host) int { return h.Memory }},
		{"accels", job.Accels, func(h gauge.Host) int { return h.Accels }},
	}
	most := make([]int, len(needs))
	kinds := 0
	for _, h := range s.ByHost {
		if !pool.Fits(h) {
			continue
		}
		kinds++
		fits := true
		for i, n := range needs {
			most[i] = max(most[i], n.has(h))
			fits = fits && n.has(h) >= n.want
		}
		if fits {
			return ""
		}
	}
	if kinds == 0 {
		return "no known host is of the kind that pool/" + job.Pool + " asks for"
	}
	for i, n := range needs {
		if n.want > most[i] {
			return fmt.Sprintf("%s: it needs %d, the largest host for pool/%s has %d", n.name, n.want, job.Pool, most[i])
		}
	}
	return "no host for pool/" + job.Pool + " has cores, memory and accels together"
}
