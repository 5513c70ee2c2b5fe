package node

import "sync"

// backgroundCalls runs calls beside the rounds of the fleet lease holder. The result of a call is
// applied in a round, so that only one goroutine changes the holder's state.
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
func (a *backgroundCalls) start(name string, call func() (then func())) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[name] {
		return false
	}
	a.running[name] = true
	go func() {
		then := call()
		a.mu.Lock()
		defer a.mu.Unlock()
		a.finished = append(a.finished, finishedCall{name: name, apply: then})
	}()
	return true
}

// applyResults applies the results of the calls that have ended.
func (a *backgroundCalls) applyResults() {
	a.mu.Lock()
	done := a.finished
	a.finished = nil
	for _, e := range done {
		delete(a.running, e.name)
	}
	a.mu.Unlock()
	for _, e := range done {
		e.apply()
	}
}
