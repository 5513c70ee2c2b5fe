package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/platform/fakes"
)

const (
	// paceStream and the numbers of the clients of bursts select random streams of their own.
	paceStream       = 7 << 32
	firstBurstClient = 0x100
	burstClients     = 8
	// calmDuration is longer than the time in which a new owner refuses no job. Disturbances begin
	// after it, while a burst is under way: it lasts from burstStart to the end of each cycle.
	calmDuration = 19 * time.Second
	burstStart   = 17 * time.Second
	burstCycle   = 23 * time.Second
)

// changePace stalls or slows down single runs or whole workers, one worker at a time, for long enough
// to be noticed.
func (s *soak) changePace(ctx context.Context, stream uint64) {
	random := rand.New(rand.NewPCG(s.seed, stream))
	for ctx.Err() == nil {
		machine := fmt.Sprintf("/pace?machine=m-%d", random.IntN(machines))
		pace := []string{"&pace=0", "&pace=0.1"}[random.IntN(2)]
		s.platform.tryRequest(machine + pace + []string{"", "&one=1"}[random.IntN(2)])
		sleep(ctx, time.Duration(3000+random.IntN(3000))*time.Millisecond)
		s.platform.tryRequest(machine + "&pace=1")
	}
}

// submitBursts submits jobs as one of the clients of the bursts.
func (s *soak) submitBursts(ctx context.Context, began time.Time, number int) {
	random := rand.New(rand.NewPCG(s.seed, uint64(number)))
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, burstStart-time.Since(began)%burstCycle)
		s.callers.submitNext(ctx, fmt.Sprintf("%04x%012x", number, n), burstJob(random), random)
	}
}

// burstJob returns a job of about two seconds of a core.
func burstJob(random *rand.Rand) map[string]any {
	millis := 600 + random.IntN(400)
	step := map[string]any{"count": 8, "cpu": taskCPU, "memMb": 100, "estimateMs": millis}
	return map[string]any{"spec": fakes.Work{RunMillis: millis, CPU: taskCPU}.Payload(), "steps": []any{step}}
}

// logNewPaths checks the Retry-After of refusals, and logs how many submissions were refused and how
// many copies and changes of workers' speed the entries have logged.
func (s *soak) logNewPaths() {
	assert.Check(s.t, len(s.callers.invalid) == 0, "seed %d: Retry-After isn't valid: %q", s.seed, s.callers.invalid)
	counts := make(map[string]int)
	for _, text := range []string{"copy starts", "copy ended first", "worker slow", "worker stalled", "worker recovered", "job not admitted", "job accepted after refusal"} {
		for _, e := range s.entries {
			counts[text] += len(e.allLogLines(fmt.Sprintf("%q", text)))
		}
	}
	s.t.Logf("seed %d: refused submissions: %v, log lines: %v", s.seed, s.callers.refusals, counts)
}
