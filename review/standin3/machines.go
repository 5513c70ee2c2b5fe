package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// machineService is the platform's machine service. It shares the lock of the fleet.
type machineService struct {
	fleet  *fleet
	listen net.Listener

	machines []*machine
	// late returns how much later than it comes an order is carried out, without an answer; 0: it is
	// carried out and answered at once. It is called with the lock held.
	late func(o *machineOrder) time.Duration
	// began is called with the lock held when the upkeep of a machine begins.
	began func(o *machineOrder)
}

type machine struct {
	id, pool, rack, state string
	worker                *worker
	fence                 int64
	waves                 map[int64]bool // whose upkeep has begun
	downFor               int64          // wave for which it is down; 0: none
}

// machineOrder is a move or an upkeep.
type machineOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
	holder  string
	fence   int64
}

func newMachineService(f *fleet) (*machineService, error) {
	l, err := net.Listen("tcp", "127.0.4.1:0")
	if err != nil {
		return nil, err
	}
	m := &machineService{fleet: f, listen: l}
	mux := http.NewServeMux()
	mux.HandleFunc("/sapphiregauge/machines", m.list)
	mux.HandleFunc("/sapphiregauge/machine-move", m.order)
	mux.HandleFunc("/sapphiregauge/machine-upkeep", m.order)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return m, nil
}

func (m *machineService) addr() string { return m.listen.Addr().String() }

// add adds a machine with its worker.
func (m *machineService) add(id, pool, rack string) error {
	h := &machine{id: id, pool: pool, rack: rack, state: "up", waves: make(map[int64]bool)}
	m.fleet.mu.Lock()
	m.machines = append(m.machines, h)
	m.fleet.mu.Unlock()
	return m.startWorker(h)
}

func (m *machineService) startWorker(h *machine) error {
	w, err := m.fleet.addWorker(h.id, h.pool, h.rack, workerCPU)
	if err != nil {
		return err
	}
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	h.worker, h.state, h.downFor = w, "up", 0
	return nil
}

func (m *machineService) list(out http.ResponseWriter, _ *http.Request) {
	m.fleet.mu.Lock()
	rows := []map[string]any{}
	for _, h := range m.machines {
		id := ""
		if h.worker != nil {
			id = h.worker.id
		}
		rows = append(rows, map[string]any{
			"machine": h.id, "pool": h.pool, "state": h.state, "zone": "hala-a", "labels": []string{"kind-a", h.rack},
			"capacity": map[string]int{"cpu": workerCPU, "memMb": 64000, "gpus": 0}, "id": id,
		})
	}
	m.fleet.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"machines": rows, "nextPageToken": ""})
}

func (m *machineService) order(out http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	o := &machineOrder{holder: r.Header.Get("Sapphiregauge-Duty-Holder")}
	if err != nil || json.Unmarshal(raw, o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if o.fence, err = strconv.ParseInt(r.Header.Get("Sapphiregauge-Fencing-Token"), 10, 64); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	m.fleet.mu.Lock()
	delay := time.Duration(0)
	if m.late != nil {
		delay = m.late(o)
	}
	if delay > 0 {
		m.fleet.site.rec.printf("machine service: order of %s (token %d) for %s gets no answer, and is carried out %v later", o.holder, o.fence, o.Machine, delay)
		m.fleet.mu.Unlock()
		time.AfterFunc(delay, func() {
			m.fleet.mu.Lock()
			defer m.fleet.mu.Unlock()
			m.carryOut(o)
		})
		<-r.Context().Done()
		return
	}
	status, reason := m.carryOut(o)
	m.fleet.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(map[string]string{"reason": reason})
}

// carryOut carries out an order. The lock is held.
func (m *machineService) carryOut(o *machineOrder) (int, string) {
	status, reason := m.apply(o)
	m.fleet.site.rec.printf("machine service: order of %s (token %d): machine %s, pool %q, wave %d: %d %s", o.holder, o.fence, o.Machine, o.Pool, o.Wave, status, reason)
	return status, reason
}

func (m *machineService) apply(o *machineOrder) (int, string) {
	at := slices.IndexFunc(m.machines, func(h *machine) bool { return h.id == o.Machine })
	if at < 0 {
		return http.StatusBadRequest, ""
	}
	h := m.machines[at]
	switch {
	case o.fence < h.fence:
		return http.StatusConflict, "fence"
	case o.Wave > 0 && h.waves[o.Wave], o.Wave == 0 && h.pool == o.Pool:
		h.fence = o.fence
		return http.StatusOK, ""
	case h.state != "up":
		return http.StatusConflict, "busy"
	}
	h.fence = o.fence
	span := moveTime
	if o.Wave > 0 {
		m.began(o)
		h.state, h.downFor, span = "upkeep", o.Wave, upkeepTime
		h.waves[o.Wave] = true
	} else {
		h.state, h.pool = "moving", o.Pool
	}
	old := h.worker
	h.worker = nil
	m.fleet.site.table.Delete("servers", old.id)
	go old.end()
	time.AfterFunc(span, func() {
		if err := m.startWorker(h); err != nil {
			m.fleet.site.rec.printf("machine %s has no worker: %v", h.id, err)
		}
	})
	return http.StatusOK, ""
}
