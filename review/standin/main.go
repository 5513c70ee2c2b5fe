// Command standin plays the cases of the review: it has stand-ins of the platform's store, of workers
// and of clients, starts the hosts as separate processes, and checks one rule.
//
//	standin CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// testCase is the part of a site that a case needs.
type testCase struct {
	rec     *record
	store   *store
	fleet   *fleet
	hosts   []*host
	client  *client
	trouble bool
}

var errNotRun = errors.New("the case couldn't run")

// cases return the breaks of their rule. REPORT.md tells of gang and count, which have no
// folders of their own.
var cases = map[string]func(*testCase) ([]string, error){"1": scheduled, "2": soundGang, "3": cancelled, "gang": gangCheckpoints, "count": countAfterKill}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		return failed(err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return failed(err)
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	s, err := newStore()
	if err != nil {
		return failed(err)
	}
	c := &testCase{rec: rec, store: s, fleet: newFleet(s, rec), trouble: os.Getenv("TROUBLE") != "0"}
	s.put("op", "config", config())
	for _, p := range pools {
		for i := range p.workers {
			if _, err := c.fleet.start(fmt.Sprintf("m-%s-%d", p.name, i), p.name, fmt.Sprintf("r%s-%d", p.name, i/4)); err != nil {
				return failed(err)
			}
		}
	}
	c.hosts, err = newHosts(hostCount, os.Args[2], dir, s, rec)
	defer stopAll(c.hosts)
	if err != nil {
		return failed(err)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		stopAll(c.hosts)
		os.Exit(2)
	}()
	c.client = newClient(c.hosts, rec)
	var prefixes []string
	for _, q := range queues {
		prefixes = append(prefixes, q.prefix)
	}
	if !c.client.awaitServing(prefixes, 20*time.Second) {
		return failed(errors.New("the hosts don't serve"))
	}
	breaks, err := cases[os.Args[1]](c)
	if err != nil {
		return failed(err)
	}
	for _, b := range breaks {
		rec.note("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(breaks) > 0 {
		return 1
	}
	rec.note("the rule held")
	fmt.Println("the rule held")
	return 0
}

func failed(err error) int {
	fmt.Fprintln(os.Stderr, "not run:", err)
	return 2
}

const hostCount = 4

// pools and queues are those of the site brandys-dimenzace, with fewer workers of the other pools.
var pools = []struct {
	name    string
	workers int
}{{"fins", 9}, {"airflow", 4}, {"baseplate", 4}, {"stacks", 4}}

type queue struct {
	name, prefix, pool string
	attempts           int
	stretch            float64
	targetMs           int
	priority           int
}

var queues = []queue{
	{"fin-check", "/puxa400/", "fins", 2, 1.6, 600, 0},
	{"soak-study", "/cufi501/", "fins", 3, 2.2, 2500, 0},
	{"airflow-sweep", "/tije37/", "airflow", 4, 1.6, 600, 1},
	{"transient-run", "/zizi35/", "airflow", 3, 2.2, 2500, 0},
	{"base-check", "/wuhu344/", "baseplate", 2, 1.6, 600, 0},
	{"cycling-study", "/kafi706/", "baseplate", 3, 2.2, 2500, 0},
	{"rectifier-sweep", "/defi252/", "stacks", 4, 1.6, 600, 1},
	{"enclosure-run", "/bobo563/", "stacks", 3, 2.2, 2500, 0},
}

func config() map[string]any {
	var routes, services []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": hostName, "pathPrefix": q.prefix, "type": "unsafe", "timeoutMs": 3000, "targetDurationMs": q.targetMs,
			"priority": q.priority, "service": q.pool, "maxAttempts": q.attempts, "stretch": q.stretch,
		})
	}
	for _, p := range pools {
		services = append(services, map[string]any{
			"name": p.name, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "rejectsOverload": false, "standby": false,
		})
	}
	return map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func (w work) spec() string {
	b, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// ownerOf returns the host that owns a pool, by the address that the pool's row of holders names. It
// stands for the host that gave the pool's last order, which the stand-ins don't see otherwise.
func (c *testCase) ownerOf(pool string) *host {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	for id, r := range c.store.rows {
		if !strings.Contains(id.table, "holder") || !strings.Contains(id.key, pool) {
			continue
		}
		for _, h := range c.hosts {
			if strings.Contains(string(r.Value), h.ip+":") {
				return h
			}
		}
	}
	return nil
}
