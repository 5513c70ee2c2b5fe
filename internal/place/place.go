// Package place finds jobs that can never run, because no host that their pool may get is large
// enough even when empty. It names the resource that is short, so that an operator learns of it
// when the record is applied and not from a queue that makes no progress.
package place

import (
	"fmt"

	gauge "sapphiregauge"
)

// Checker compares jobs with hosts.
type Checker struct{}

// New returns a Checker.
func New() *Checker { return &Checker{} }

// need is a job's demand of one resource, and how to read a host's capacity of it.
type need struct {
	name     string
	want     int
	capacity func(gauge.Host) int
}

// Unplaceable lists the jobs of a state that fit no host, one sentence each. It returns nil
// while no host is known.
func (c *Checker) Unplaceable(s gauge.State) []string {
	if len(s.ByHost) == 0 {
		return nil
	}
	var out []string
	for _, name := range s.RecordNames(gauge.RecordJob) {
		job := s.Records[gauge.RecordID{Kind: gauge.RecordJob, Name: name}].Job
		pool := s.Pool(job.Pool)
		if pool == nil {
			continue // reported by State.Validate
		}
		if reason := whyUnplaceable(s, job, pool); reason != "" {
			out = append(out, fmt.Sprintf("job/%s can never run: %s", name, reason))
		}
	}
	return out
}

// whyUnplaceable returns why a job fits no host of its pool, or "" if it fits one.
func whyUnplaceable(s gauge.State, job *gauge.Job, pool *gauge.Pool) string {
	needs := []need{
		{"cores", job.Cores, func(h gauge.Host) int { return h.Cores }},
		{"memory", job.Memory, func(h gauge.Host) int { return h.Memory }},
		{"accels", job.Accels, func(h gauge.Host) int { return h.Accels }},
	}
	largest := make([]int, len(needs))
	candidates := 0
	for _, h := range s.ByHost {
		if !pool.Fits(h) {
			continue
		}
		candidates++
		fits := true
		for i, n := range needs {
			largest[i] = max(largest[i], n.capacity(h))
			fits = fits && n.capacity(h) >= n.want
		}
		if fits {
			return ""
		}
	}
	if candidates == 0 {
		return "no known host is of the kind that pool/" + job.Pool + " asks for"
	}
	for i, n := range needs {
		if n.want > largest[i] {
			return fmt.Sprintf("%s: it needs %d, the largest host for pool/%s has %d", n.name, n.want, job.Pool, largest[i])
		}
	}
	return "no host for pool/" + job.Pool + " has cores, memory and accels together"
}
