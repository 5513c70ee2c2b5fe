package soak_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/platform/fakes"
)

// The fakes of the platform (table, operator, machine service and workers) run in a process of
// their own, so that it can be paused: this test's program, started again with fakesEnv set.
// The test controls them through an HTTP address.

const (
	fakesEnv = "SOAK_STANDIN"
	// withoutZones is the variable's value if workers listen anywhere; otherwise it is their network.
	withoutZones = "1"
)

func TestMain(m *testing.M) {
	if os.Getenv(fakesEnv) != "" {
		runFakes()
		return
	}
	os.Exit(m.Run())
}

// addresses is what the fakes print once they listen.
type addresses struct {
	Table    string `json:"table"`
	Machines string `json:"machines"`
	Control  string `json:"control"`
}

// verdict is what the fakes have observed.
type verdict struct {
	Faults         []string       `json:"faults"`
	Starts         map[string]int `json:"starts"`
	Running        map[string]int `json:"running"`
	CrashedWorkers map[string]int `json:"under"` // workers that crashed under each task
	Wave           bool           `json:"wave"`
	// Crashes are the runs during which their workers crashed.
	Crashes []fakes.RunHistory `json:"crashes"`
}

const (
	poolName  = "brakes"
	spareName = "spare"
	hostName  = "garage.example"
	prefix    = "/sheets/"
	machines  = 6
)

// queues returns the queues of a version of the configuration; each version adds one.
func queues(version int64) []fakes.Queue {
	list := []fakes.Queue{{Name: "r-sheets", Host: hostName, Prefix: prefix, Pool: poolName}}
	for v := int64(2); v <= version; v++ {
		list = append(list, fakes.Queue{Name: fmt.Sprintf("r-%d", v), Host: hostName, Prefix: fmt.Sprintf("/v%d/", v), Pool: poolName})
	}
	return list
}

func runFakes() {
	table, journal := fakes.NewTable(), fakes.NewJournal()
	service := fakes.NewMachines(table, journal)
	var ids []string
	network := os.Getenv(fakesEnv)
	for i := range machines {
		ids = append(ids, fmt.Sprintf("m-%d", i))
		if network == withoutZones {
			service.Add(ids[i], poolName)
		} else {
			service.AddAt(ids[i], poolName, zoneName(i, cutZones), peerAddr(workerIP(network, i)))
			table.SetAlias(portAlias)
		}
	}
	table.PutConfig(1, queues(1), spareName)
	mux := http.NewServeMux()
	mux.HandleFunc("/configure", func(_ http.ResponseWriter, r *http.Request) {
		version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
		table.PutAccountConfig(version, queues(version), fakeAccounts(r.URL.Query()), spareName)
	})
	mux.HandleFunc("/bound", func(_ http.ResponseWriter, r *http.Request) {
		tasks, _ := strconv.Atoi(r.URL.Query().Get("tasks"))
		journal.LimitRunning(r.URL.Query().Get("prefix"), tasks)
	})
	mux.HandleFunc("/wave", func(http.ResponseWriter, *http.Request) { table.PutWave(1, ids, 60, 2) })
	var wave atomic.Int64
	wave.Store(1)
	mux.HandleFunc("/nextwave", func(http.ResponseWriter, *http.Request) {
		if table.IsWaveDone(wave.Load()) {
			table.PutWave(wave.Add(1), ids, 60, 2)
		}
	})
	mux.HandleFunc("/owner", func(w http.ResponseWriter, _ *http.Request) {
		row, err := gauge.DecodeLeaseRow(table.Value(gauge.TableLeases, poolName, gauge.KeyOwner))
		if err != nil {
			row = new(gauge.LeaseRow)
		}
		_ = json.NewEncoder(w).Encode(row.Addr)
	})
	mux.HandleFunc("/runs", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(listOrderedRuns(table, journal, r.URL.Query().Get("task")))
	})
	mux.HandleFunc("/crash", func(_ http.ResponseWriter, r *http.Request) { service.CrashWorker(r.URL.Query().Get("machine")) })
	mux.HandleFunc("/cut", func(_ http.ResponseWriter, r *http.Request) {
		millis, _ := strconv.Atoi(r.URL.Query().Get("ms"))
		service.CutOff(r.URL.Query().Get("machine"), time.Duration(millis)*time.Millisecond)
	})
	mux.HandleFunc("/faults", func(_ http.ResponseWriter, r *http.Request) {
		pick := faultPicker(r)
		table.SetFault(pick)
		if r.URL.Query().Has("machines") {
			service.SetFault(pick)
		}
		service.EachWorker(func(w *fakes.Worker) { w.SetFault(pick) })
	})
	mux.HandleFunc("/room", func(_ http.ResponseWriter, r *http.Request) {
		cpu, _ := strconv.Atoi(r.URL.Query().Get("cpu"))
		if w := service.Worker(r.URL.Query().Get("machine")); w != nil {
			w.Resize(cpu)
		}
	})
	mux.HandleFunc("/pace", func(_ http.ResponseWriter, r *http.Request) {
		pace, _ := strconv.ParseFloat(r.URL.Query().Get("pace"), 64)
		w := service.Worker(r.URL.Query().Get("machine"))
		switch {
		case w == nil:
		case r.URL.Query().Has("one"):
			w.SetRunPace(pace)
		default:
			w.SetPace(pace)
		}
	})
	mux.HandleFunc("/power", func(http.ResponseWriter, *http.Request) {
		for _, id := range ids {
			service.CrashWorker(id)
		}
	})
	mux.HandleFunc("/verdict", func(w http.ResponseWriter, _ *http.Request) {
		v := verdict{Faults: journal.Violations(), Wave: table.IsWaveDone(1), CrashedWorkers: journal.CrashesByTask(), Crashes: journal.CrashedRuns()}
		v.Starts, v.Running = journal.StartsAndRunning()
		_ = json.NewEncoder(w).Encode(v)
	})
	mux.HandleFunc("/counted", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(countCrashes(table, journal))
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	_ = json.NewEncoder(os.Stdout).Encode(addresses{Table: table.Addr(), Machines: service.Addr(), Control: l.Addr().String()})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	panic(server.Serve(l))
}

// faultPicker returns a function that picks the fault of each call: a share of the calls, chosen by
// the seed, misbehave; nil: none does.
func faultPicker(r *http.Request) func(string) fakes.Fault {
	share, _ := strconv.ParseFloat(r.URL.Query().Get("share"), 64)
	seed, _ := strconv.ParseUint(r.URL.Query().Get("seed"), 10, 64)
	if share == 0 {
		return nil
	}
	kinds := []fakes.Fault{fakes.FaultRefused, fakes.FaultResponseLost, fakes.FaultRequestLost, fakes.FaultRequestDelayed, fakes.FaultResponseCut}
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func(string) fakes.Fault {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() >= share {
			return fakes.FaultNone
		}
		return kinds[random.IntN(len(kinds))]
	}
}

// platform is the process of the fakes.
type platform struct {
	t       *testing.T
	process *exec.Cmd
	addrs   addresses
}

// startPlatform starts the fakes, with workers in a network or withoutZones.
func startPlatform(t *testing.T, network string) *platform {
	program, err := os.Executable()
	assert.NilError(t, err)
	p := &platform{t: t, process: exec.Command(program)}
	p.process.Env = append(os.Environ(), fakesEnv+"="+network)
	p.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.process.Stderr = os.Stderr
	out, err := p.process.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.process.Start())
	t.Cleanup(func() {
		_ = p.process.Process.Kill()
		_ = p.process.Wait()
	})
	line, err := bufio.NewReader(out).ReadBytes('\n')
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(line, &p.addrs))
	return p
}

func (p *platform) request(path string) { p.get(path, nil) }

func (p *platform) get(path string, into any) {
	p.t.Helper()
	resp, err := http.Get("http://" + p.addrs.Control + path) //nolint:noctx // ends with the process
	assert.NilError(p.t, err)
	defer func() { _ = resp.Body.Close() }()
	if into != nil {
		assert.NilError(p.t, json.NewDecoder(resp.Body).Decode(into))
	}
}

// tryRequest sends a request that may fail while the fakes are paused.
func (p *platform) tryRequest(path string) {
	if resp, err := http.Get("http://" + p.addrs.Control + path); err == nil { //nolint:noctx // ends with the process
		_ = resp.Body.Close()
	}
}

func (p *platform) verdict() verdict {
	var v verdict
	p.get("/verdict", &v)
	return v
}
