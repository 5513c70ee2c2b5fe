package node

import "sync"

// backgroundCalls runs calls concurrently with the rounds of the fleet lease holder. The result of
// a call is applied in a later round, so that only one goroutine changes the holder's state.
type backgroundCalls struct {
	mu       sync.Mutex
	running  map[string]bool
	finished []finishedCall
}

// finishedCall is a call that has ended, and the function that applies its result.
type finishedCall struct {
	name  string
	apply func()
}

func newBackgroundCalls() *backgroundCalls { return &backgroundCalls{running: make(map[string]bool)} }

// start starts a call. It reports false if a call of that name is in flight or its result hasn't
// been applied yet.
func (b *backgroundCalls) start(name string, call func() (apply func())) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running[name] {
		return false
	}
	b.running[name] = true
	go func() {
		apply := call()
		b.mu.Lock()
		defer b.mu.Unlock()
		b.finished = append(b.finished, finishedCall{name: name, apply: apply})
	}()
	return true
}

// isRunning reports whether a call of that name is in flight or its result hasn't been applied yet.
func (b *backgroundCalls) isRunning(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running[name]
}

// applyResults applies the results of the calls that have ended.
func (b *backgroundCalls) applyResults() {
	b.mu.Lock()
	done := b.finished
	b.finished = nil
	for _, e := range done {
		delete(b.running, e.name)
	}
	b.mu.Unlock()
	for _, e := range done {
		e.apply()
	}
}
