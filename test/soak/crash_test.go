package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sapphiregauge/platform/fakes"
)

const (
	// crashSeed and roomSeed set these apart from the schedule, which stays as it is without.
	crashSeed = 3 << 32
	roomSeed  = 4 << 32
	// crashPace is the pause between two jobs that crash their workers. There are few workers,
	// and each that crashes is away for some tenths of a second.
	crashPace = 3 * time.Second
	// powerShare: one in so many changes of room is a loss of all workers instead.
	powerShare = 6
	fullRoom   = 4000
)

// crashers are the jobs that crash their workers, and that were accepted.
type crashers struct {
	mu  sync.Mutex
	ids []string
}

func (c *crashers) all() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ids
}

// handInCrashers hands in jobs of which one task crashes each worker that starts it.
func (s *soak) handInCrashers(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.seed, crashSeed))
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("bad0%012x", n)
		job := crasher(random)
		for range tries {
			if status, _ := s.callers.try(s.callers.any(random), id, job); status == http.StatusOK {
				s.crashers.mu.Lock()
				s.crashers.ids = append(s.crashers.ids, id)
				s.crashers.mu.Unlock()
				break
			}
			rest(ctx, retryGap)
		}
		rest(ctx, crashPace)
	}
}

// crasher is a job with one task that crashes its worker: at once or later, in a step of
// several, with copies, or one that lasts. Not a gang: these workers end its members one by one,
// and one end that is done stands for all.
func crasher(random *rand.Rand) map[string]any {
	work := fakes.Work{Millis: 600, CPU: 300, Crashes: true, After: random.IntN(2) * random.IntN(400)}
	step := map[string]any{"count": 1 + random.IntN(3), "cpu": 300, "memMb": 100, "estimateMs": 300}
	switch random.IntN(3) {
	case 0:
		step["longRunning"], work.Millis = true, 0
	case 1:
		step["speculative"] = true
	}
	return map[string]any{"spec": work.Payload(), "steps": []any{step}}
}

// changeRoom has the room of single workers shrink and grow while work is there, and all
// workers lose power now and then.
func (s *soak) changeRoom(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.seed, roomSeed))
	for ctx.Err() == nil {
		rest(ctx, time.Duration(300+random.IntN(1200))*time.Millisecond)
		if random.IntN(powerShare) == 0 {
			s.platform.tell("/power")
			continue
		}
		s.platform.tell(fmt.Sprintf("/room?machine=m-%d&cpu=%d", random.IntN(machines), random.IntN(5)*fullRoom/4))
	}
	for i := range machines {
		s.platform.tell(fmt.Sprintf("/room?machine=m-%d&cpu=%d", i, fullRoom))
	}
}
