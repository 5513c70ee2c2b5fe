package node

import "sync"

// async does calls beside the rounds of the fleet's holder. What follows from a call
// is done in a round, so that the holder's state is touched by one thread only.
type async struct {
	mu      sync.Mutex
	running map[string]bool
	done    []ended
}

// ended is a call that has ended, and what follows from it.
type ended struct {
	name string
	then func()
}

func newAsync() *async { return &async{running: make(map[string]bool)} }

// do begins a call; false: one of that name is under way or not settled yet.
func (a *async) do(name string, call func() (then func())) bool {
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
		a.done = append(a.done, ended{name: name, then: then})
	}()
	return true
}

// settle does what follows from the calls that have ended.
func (a *async) settle() {
	a.mu.Lock()
	done := a.done
	a.done = nil
	for _, e := range done {
		delete(a.running, e.name)
	}
	a.mu.Unlock()
	for _, e := range done {
		e.then()
	}
}
