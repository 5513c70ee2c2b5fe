//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	zoneName  = "hall-a"
	hostName  = "pule25.example"
	routePath = "/puxa400/"
	routeName = "r-sheets"
	poolName  = "sheets"
	spareName = "office"

	frontPort = 8624
	readyPort = 8622
	peerPorts = "7060,7075"
	program   = "target/sapphiregauge"
	graceS    = 6
	configAge = 2 * time.Second
	finishS   = 14 * time.Second
)

// settingsText is a settings file as DEPLOY.md shows it, with the bounds of a small deployment.
const settingsText = `nodeName=%[1]s
role=entry
machineClass=edge
serves=edge
ip=%[2]s
zone=hall-a
region=r
zones.hall-a=r
bindAddresses.frontend=%[2]s:8624
bindAddresses.ready=%[2]s:8622
bindAddresses.controlPlane=%[2]s:8623
internalPorts=7060,7075
bootstrap=true
inTolerance=false
limits.cpuShare=0.4
limits.cpuCores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entrypoint=vip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.configApplyMs=2000
bounds.maxHoldMs=10000
bounds.stopTimeoutMs=400
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remoteFactor=2
bounds.checkpointS=1
bounds.restoreMs=600
bounds.noticeMs=4500
bounds.migrateS=1.5
bounds.maintenanceS=2
bounds.fencingEnforced=true
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.paceMs=100
bounds.impactMs=4000
controlMode=request
recommendation=
platform.address=%[3]s
platform.form=table
platform.writesPerS=800
platform.readsPerS=2000
platform.txnMs=3.0
platform.partitionWritesS=300
platform.rowBytes=65536
platform.crossRegion=true
platform.historyS=20
cloudApi.address=%[4]s
cloudApi.ratePerS=64.0
cloudApi.duties=
cloudApi.dutyPerS=64.0
`

// site is a small deployment: the stand-ins, and processes of the project's program.
type site struct {
	rec     *record
	dir     string
	net     string // first three bytes of its loopback addresses
	store   *store
	fleet   *fleet
	servers []*http.Server
	tableAt string
	cloudAt string
	client  *http.Client

	hosts  []*host
	closed atomic.Bool // no process starts any more
}

// host is a machine of the system, with one process at a time.
type host struct {
	s    *site
	name string
	ip   string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

func newSite(rec *record) (*site, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("run it in the repository's root, after the build: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, dir: dir, store: newStore(rec), client: &http.Client{Timeout: 4 * time.Second}}
	for range 20 {
		s.net = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
		if portsAreFree(s.net+".1", s.net+".2") {
			break
		}
	}
	platformIP := s.net + ".200"
	s.fleet = newFleet(rec, s.store, s.net+".201")
	if s.tableAt, err = s.serve(platformIP, s.store.handler()); err != nil {
		return nil, err
	}
	if s.cloudAt, err = s.serve(platformIP, s.fleet.handler()); err != nil {
		return nil, err
	}
	return s, nil
}

func portsAreFree(ips ...string) bool {
	for _, ip := range ips {
		for _, port := range []int{frontPort, readyPort, 7060, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (s *site) serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(mutableListener{l}) }()
	return l.Addr().String(), nil
}

// configure writes the operator's first configuration.
func (s *site) configure(version int64) {
	s.store.put("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": routeName, "host": hostName, "pathPrefix": routePath, "type": "unsafe", "timeoutMs": 3000, "targetDurationMs": 600,
			"priority": 0, "service": poolName, "maxAttempts": 3, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": poolName, "rejectsOverload": false}, {"name": spareName, "rejectsOverload": false, "standby": true}},
		"limits":   map[string]int{"maxBodyBytes": 262144},
	})
	s.rec.say("configuration %d is stored", version)
}

// startHosts starts processes and waits until all are ready.
func (s *site) startHosts(n int) error {
	for i := range n {
		h := &host{s: s, name: fmt.Sprintf("edge-hall-a-%d", i+1), ip: fmt.Sprintf("%s.%d", s.net, i+1)}
		s.hosts = append(s.hosts, h)
		text := fmt.Sprintf(settingsText, h.name, h.ip, s.tableAt, s.cloudAt)
		if err := os.WriteFile(h.settings(), []byte(text), 0o600); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range s.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.rec.say("%d hosts are ready", n)
	return nil
}

func (h *host) settings() string { return filepath.Join(h.s.dir, h.name+".conf") }

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.s.closed.Load() {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(h.s.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(program, "host", "--metrics=9464")
	c.Env = []string{"SAPPHIREGAUGE_SETTINGS=" + h.settings(), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	h.process, h.ended = c, make(chan struct{})
	h.s.rec.say("%s starts as process %d", h.name, c.Process.Pid)
	go func(ended chan struct{}) {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}(h.ended)
	return nil
}

// signal sends a signal to the process and, for a deadly one, waits for its end.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	p, ended := h.process, h.ended
	h.mu.Unlock()
	if p == nil {
		return
	}
	h.s.rec.say("%s gets %s", h.name, sig)
	_ = p.Process.Signal(sig)
	if sig == syscall.SIGKILL {
		<-ended
	}
}

func (h *host) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/sapphiregauge/ready", h.ip, readyPort), nil)
	resp, err := h.s.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *site) hostByName(name string) *host {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// step is a step of a job, as clients send it.
type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu,omitempty"`
	MemMB      int   `json:"memMb,omitempty"`
	EstimateMS int64 `json:"estimateMs,omitempty"`

	Checkpointing  bool   `json:"checkpointing,omitempty"`
	After          []int  `json:"after,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	LongRunning    bool   `json:"longRunning,omitempty"`
	MaxUnavailable int    `json:"maxUnavailable,omitempty"`
	Requirements   string `json:"requirements,omitempty"`
	AntiAffinity   int    `json:"antiAffinity,omitempty"`
	Speculative    bool   `json:"speculative,omitempty"`
}

// call sends one call of a client to a host and returns the status, 0 for no answer, and the body.
func (s *site) call(method string, h *host, id string, body any) (int, []byte) {
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s%s", h.ip, frontPort, routePath, id), bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Sapphiregauge-Deadline-Ms", "3000")
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

const clientTries = 5

// submit hands a job in, with four retries as clients do, and reports whether it was accepted.
func (s *site) submit(id string, runMillis int, steps ...step) bool {
	spec, _ := json.Marshal(work{RunMillis: runMillis, CPU: steps[0].CPU, Checkpoints: steps[0].Checkpointing})
	body := map[string]any{"spec": string(spec), "steps": steps}
	for try := range clientTries {
		h := s.hosts[rand.IntN(len(s.hosts))]
		status, _ := s.call(http.MethodPost, h, id, body)
		s.rec.say("POST %s to %s: %d", id, h.name, status)
		switch {
		case status >= 200 && status < 300:
			return true
		case status != 0 && status != 429 && status < 500:
			return false
		}
		time.Sleep(time.Duration(100*(try+1)) * time.Millisecond)
	}
	return false
}

// state asks for a job's state at any host that answers; empty: none did, "gone": there is none.
func (s *site) state(id string) string {
	for range clientTries {
		status, body := s.call(http.MethodGet, s.hosts[rand.IntN(len(s.hosts))], id, nil)
		switch status {
		case http.StatusOK:
			var a struct {
				State string `json:"state"`
			}
			if json.Unmarshal(body, &a) == nil {
				return a.State
			}
		case http.StatusGone:
			return "gone"
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}

// logLines returns how many lines of the hosts' logs contain a text.
func (s *site) logLines(text string) int {
	n := 0
	for _, h := range s.hosts {
		raw, _ := os.ReadFile(filepath.Join(s.dir, h.name+".log"))
		n += strings.Count(string(raw), text)
	}
	return n
}

// close ends all processes that the case started.
func (s *site) close() {
	s.closed.Store(true)
	for _, h := range s.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.fleet.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println(s.dir)
	}
}
