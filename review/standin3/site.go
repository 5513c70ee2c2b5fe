package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"sapphiregauge/platform/fakes"
)

const (
	clientHost = "pule25.example"
	poolName   = "fins"
	spareName  = "office"
	callLimit  = 3 * time.Second
	readyLimit = 20 * time.Second
)

// site is a small deployment on loopback addresses.
type site struct {
	rec     *record
	trouble bool
	dir     string
	table   *fakes.Table
	hosts   []*host
	ports   ports
	client  *http.Client

	mu      sync.Mutex
	jobs    map[string]*jobBody // by id and spec: what clients have sent
	workers []*worker
	closed  bool
}

func newSite(rec *record, trouble bool) *site {
	return &site{
		rec: rec, trouble: trouble, table: fakes.NewTable(), jobs: make(map[string]*jobBody),
		client: &http.Client{Timeout: callLimit, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// startHosts starts the hosts and waits until all serve.
func (s *site) startHosts(count int) error {
	if _, err := os.Stat(program); err != nil {
		return fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return err
	}
	s.dir = dir
	var ips []string
	for i := range count {
		ips = append(ips, fmt.Sprintf("127.0.3.%d", i+1))
		s.hosts = append(s.hosts, &host{site: s, name: fmt.Sprintf("edge-%d", i+1), ip: ips[i]})
	}
	if s.ports, err = freePorts(ips); err != nil {
		return err
	}
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return s.waitFor("all hosts are ready", readyLimit, func() bool {
		for _, h := range s.hosts {
			if !s.isReady(h) {
				return false
			}
		}
		return true
	})
}

func (s *site) isReady(h *host) bool {
	resp, err := s.client.Get(fmt.Sprintf("http://%s:%d/sapphiregauge/ready", h.ip, s.ports.ready)) //nolint:gosec // to a loopback address of this case
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitFor waits until a condition holds.
func (s *site) waitFor(what string, limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if holds() {
			return nil
		}
		time.Sleep(pollDelay)
	}
	return fmt.Errorf("waited in vain: %s", what)
}

const pollDelay = 20 * time.Millisecond

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	s.mu.Lock()
	already := s.closed
	s.closed = true
	workers := s.workers
	s.mu.Unlock()
	if already {
		return
	}
	for _, h := range s.hosts {
		<-h.signal(syscall.SIGKILL)
	}
	for _, w := range workers {
		w.end()
	}
	if s.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir) //nolint:gosec // the temporary folder that this case made
	}
}

// stepBody and jobBody are a job as clients send it. RunMS is for the workers here.
type stepBody struct {
	Count      int `json:"count"`
	CPU        int `json:"cpu"`
	MemMB      int `json:"memMb"`
	EstimateMS int `json:"estimateMs"`
	runMS      int
}

type jobBody struct {
	Spec  string     `json:"spec"`
	Steps []stepBody `json:"steps"`
	queue string
}

// submit sends a job as a client does: again, at another host, after no answer, a 502 or a 504, and
// later after a 429 or 503. It returns the last status.
func (s *site) submit(prefix, id string, j *jobBody, first int) int {
	j.queue = prefix
	s.mu.Lock()
	if s.jobs[id+"/"+j.Spec] == nil {
		s.jobs[id+"/"+j.Spec] = j
	}
	s.mu.Unlock()
	body, err := json.Marshal(j)
	if err != nil {
		return 0
	}
	status := 0
	for try := range submitTries {
		h := s.hosts[(first+try)%len(s.hosts)]
		status, _ = s.call(h, http.MethodPost, prefix+id, body)
		if status == http.StatusOK {
			return status
		}
		time.Sleep(retryDelay)
	}
	return status
}

const (
	submitTries = 5
	retryDelay  = 500 * time.Millisecond
)

// call makes one call of a client and records it; status 0 means that no answer came.
func (s *site) call(h *host, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front()+path, bytes.NewReader(body)) //nolint:gosec // to a loopback address of this case
	if err != nil {
		return 0, nil
	}
	req.Host = clientHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Sapphiregauge-Deadline-Ms", "3000")
	sent := time.Now()
	resp, err := s.client.Do(req) //nolint:gosec // to a loopback address of this case
	if err != nil {
		s.rec.printf("client %s %s at %s, %d bytes: no answer (%v)", method, path, h.name, len(body), errors.Unwrap(err))
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	s.rec.printf("client %s %s at %s, %d bytes: %d %s (%d ms)", method, path, h.name, len(body), resp.StatusCode, bytes.TrimSpace(answer), time.Since(sent).Milliseconds())
	return resp.StatusCode, answer
}

// state asks for the state of a job; empty: it isn't told.
func (s *site) state(prefix, id string) string {
	for _, h := range s.hosts {
		status, answer := s.call(h, http.MethodGet, prefix+id, nil)
		var b struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(answer, &b) == nil {
			return b.State
		}
	}
	return ""
}

// job returns a job that clients have sent, nil if there is none.
func (s *site) job(id, spec string) *jobBody {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[id+"/"+spec]
}
