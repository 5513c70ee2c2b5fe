package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// event is one thing that a stand-in saw.
type event struct {
	at     time.Duration
	what   string
	worker string
	task   string
	run    int
	more   string
}

// record is what was sent, answered and run.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
	all   []event
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f}, nil
}

func (r *record) add(what string, w *worker, task string, run int, more string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := event{at: time.Since(r.began), what: what, worker: w.id, task: task, run: run, more: more}
	r.all = append(r.all, e)
	fmt.Fprintf(r.file, "%8.3f s  worker %-14s %-14s task %s run %d %s\n", e.at.Seconds(), e.worker, e.what, e.task, e.run, e.more)
}

// note writes a line about a client, the platform or the test.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) events() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.all...)
}
