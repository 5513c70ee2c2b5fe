// Package size_test measures how the cost of an entry's work grows with the size of the fleet.
// The figures in docs/CAPACITY.md are derived from these slopes; run with
//
//	go test ./test/size -run xxx -bench . -benchtime 200x
package size_test

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"

	gauge "sapphiregauge"
	"sapphiregauge/internal/claim"
	"sapphiregauge/internal/follow"
	"sapphiregauge/internal/frame"
	"sapphiregauge/internal/member"
	"sapphiregauge/internal/memdb"
	"sapphiregauge/internal/peers"
	"sapphiregauge/internal/plan"
	"sapphiregauge/internal/revlog"
	"sapphiregauge/internal/slots"
)

const entriesPerZone = 8 // entries in a data centre

func newMember(i int) gauge.Member {
	return gauge.Member{
		ID: fmt.Sprintf("entry-%03d", i), StartID: "00000000-0000-0000-0000-000000000000",
		Peer: "10.0.0.1:8081", HTTP: "10.0.0.1:8080", Zone: fmt.Sprint("zone-", i/entriesPerZone),
	}
}

// BenchmarkHeartbeats measures one second of heartbeats of one entry: a heartbeat to each
// neighbour, and the answers.
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			set := peers.New(peers.Config{Self: newMember(0)})
			var rows []gauge.Member
			for i := range n {
				rows = append(rows, newMember(i))
			}
			set.UpdateRows(now, rows)
			neighbourHeartbeat := peers.Heartbeat{From: newMember(1)}
			for i := 1; i < entriesPerZone; i++ {
				neighbourHeartbeat.ZoneLive = append(neighbourHeartbeat.ZoneLive, newMember(i).ID)
			}
			neighbourHeartbeat.ZoneSameView = neighbourHeartbeat.ZoneLive
			bytes, calls := 0, 0
			for b.Loop() {
				set.Refresh(now)
				for _, to := range set.Neighbours(now) {
					heartbeat := set.NewHeartbeat(now, 7, to.Zone)
					body, _ := msgpack.Marshal(&heartbeat)
					answer := neighbourHeartbeat
					answer.From = to
					if to.Zone == newMember(0).Zone {
						answer.ZoneLive, answer.ZoneSameView = nil, nil
					}
					reply, _ := msgpack.Marshal(&answer)
					var received peers.Heartbeat
					_ = frame.Decode(reply, &received)
					set.Receive(now, received)
					bytes += len(body) + len(reply) + 2*frameOverhead
					calls++
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/s")
			b.ReportMetric(float64(calls)/float64(b.N), "calls/s")
		})
	}
}

// frameOverhead is the number of bytes that a frame and the packet headers add to a body.
const frameOverhead = 20 + 40

// BenchmarkSlotRenewal measures one renewal of the slots that one entry holds in one pool.
func BenchmarkSlotRenewal(b *testing.B) {
	for _, hosts := range []int{10, 50, 200} {
		for _, holders := range []int{8, 128} {
			b.Run(fmt.Sprintf("hosts=%d/entries=%d", hosts, holders), func(b *testing.B) {
				now := time.Unix(1000, 0)
				f := slots.Fleet{SameViewCount: 1, KnownCount: 1, Reserve: 2, Floor: 1}
				for i := range hosts {
					f.Hosts = append(f.Hosts, slots.HostCapacity{Host: fmt.Sprintf("host-%04d", i), Slots: 8})
				}
				owner := slots.New(slots.Config{Pool: "p", LeaseDuration: time.Hour, MaxRunTime: time.Minute, OwnerSince: now.Add(-2 * time.Hour)})
				owner.SetFleet(f)
				seq, bytes := uint64(0), 0
				for b.Loop() {
					seq++
					req := slots.LeaseRequest{Holder: fmt.Sprintf("entry-%03d/%s", int(seq)%holders, newMember(0).StartID), Pool: "pool-001", Seq: seq, Full: true, WantedQuick: 1}
					share := max(1, hosts*8/holders/2)
					for i := range min(share, hosts) {
						req.Slots = append(req.Slots, slots.HostSlots{Host: f.Hosts[(int(seq)+i)%hosts].Host, Quick: 1})
					}
					g, _ := owner.HandleRequest(now, req)
					request, _ := msgpack.Marshal(&req)
					grant, _ := msgpack.Marshal(&g)
					bytes += len(request) + len(grant) + 2*frameOverhead
				}
				b.ReportMetric(float64(bytes)/float64(b.N), "B/renewal")
			})
		}
	}
}

func newState(hosts, pools int) gauge.State {
	s := gauge.State{Revision: 1, Records: make(map[gauge.RecordID]gauge.Record), ByHost: make(map[string]gauge.Host)}
	for i := range pools {
		name := fmt.Sprintf("pool-%03d", i)
		p := &gauge.Pool{Hosts: hosts / pools * 8 / 10}
		p.SetDefaults()
		source := "kind: pool\nschema: 2\nname: " + name + "\npromise:\n  hosts: 40\n  objective: 0.999\nprefer: buffer\n"
		s.Records[gauge.RecordID{Kind: gauge.RecordPool, Name: name}] = gauge.Record{Kind: gauge.RecordPool, Name: name, Schema: 2, Source: source, Pool: p}
		svc := &gauge.Service{Pool: name}
		svc.SetDefaults()
		s.Records[gauge.RecordID{Kind: gauge.RecordService, Name: name}] = gauge.Record{Kind: gauge.RecordService, Name: name, Schema: 1, Source: source, Service: svc}
	}
	for i := range hosts {
		h := gauge.Host{
			ID: fmt.Sprintf("host-%05d", i), Addr: "10.0.0.1:9000", Zone: fmt.Sprint("zone-", i/4%16), Rack: fmt.Sprint("rack-", i/4),
			Cores: 16, Memory: 64, Slots: 8, Conns: 64, State: gauge.HostServing, Pool: fmt.Sprintf("pool-%03d", i%pools),
		}
		s.ByHost[h.ID] = h
	}
	return s.WithIndex()
}

func hostListOf(s gauge.State) gauge.HostList {
	var out gauge.HostList
	for _, h := range s.Hosts() {
		out = append(out, gauge.ListedHost{ID: h.ID, Addr: h.Addr, Zone: h.Zone, Rack: h.Rack, Slots: 8, Status: gauge.StatusLive})
	}
	return out
}

func fleetSizes() []fleetSize { return []fleetSize{{59, 5}, {590, 12}, {5900, 117}} }

type fleetSize struct{ hosts, pools int }

// BenchmarkState measures the memory of the state in force and the time it takes to apply one
// change.
func BenchmarkState(b *testing.B) {
	for _, n := range fleetSizes() {
		b.Run(fmt.Sprint("hosts=", n.hosts), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := newState(n.hosts, n.pools)
			runtime.GC()
			runtime.ReadMemStats(&after)
			h := s.ByHost["host-00003"]
			body, _ := json.Marshal(h)
			for b.Loop() {
				h.Epoch++
				next, err := s.Apply(gauge.Change{Revision: s.Revision + 1, Hosts: []gauge.Host{h}})
				if err != nil {
					b.Fatal(err)
				}
				s = next
			}
			b.ReportMetric(float64(len(body)), "B/host")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KiB")
		})
	}
}

// BenchmarkPlan measures one round of planning, for the fleet and for all pools, and the decoding
// of the list of hosts.
func BenchmarkPlan(b *testing.B) {
	for _, n := range fleetSizes() {
		s := newState(n.hosts, n.pools)
		list := hostListOf(s)
		in := plan.Input{State: s, List: list, ListByHost: list.ByID(), IsQuiesced: func(gauge.Host) bool { return true }, IsLost: func(gauge.Host) bool { return false }}
		p := plan.New(plan.Config{})
		b.Run(fmt.Sprintf("hosts=%d/fleet", n.hosts), func(b *testing.B) {
			for b.Loop() {
				p.Fleet(in)
			}
		})
		b.Run(fmt.Sprintf("hosts=%d/pools", n.hosts), func(b *testing.B) {
			for b.Loop() {
				for _, name := range s.RecordNames(gauge.RecordPool) {
					p.Pool(in, name)
				}
			}
		})
		b.Run(fmt.Sprintf("hosts=%d/list", n.hosts), func(b *testing.B) {
			body, _ := json.Marshal(list)
			for b.Loop() {
				var l gauge.HostList
				_ = json.Unmarshal(body, &l)
				l.ByID()
			}
			b.ReportMetric(float64(len(body)), "B/list")
		})
	}
}

// countingTable is a table that counts reads and writes and delays each commit.
type countingTable struct {
	gauge.Table
	commitDelay   time.Duration
	reads, writes atomic.Int64
}

func (c *countingTable) Get(ctx context.Context, key string) (gauge.Row, error) {
	c.reads.Add(1)
	return c.Table.Get(ctx, key)
}

func (c *countingTable) Scan(ctx context.Context, prefix string) ([]gauge.Row, error) {
	c.reads.Add(1)
	return c.Table.Scan(ctx, prefix)
}

func (c *countingTable) Commit(ctx context.Context, t gauge.Txn) error {
	c.writes.Add(1)
	time.Sleep(c.commitDelay)
	return c.Table.Commit(ctx, t)
}

// BenchmarkClaims measures how many claims one transaction carries at a table that takes 5 ms for
// each transaction.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			t := &countingTable{Table: memdb.New(), commitDelay: 5 * time.Millisecond}
			c := claim.New(claim.Config{Entry: "e/1", Table: t, Objects: memdb.New(), Clock: time.Now})
			began := time.Now()
			var group sync.WaitGroup
			each := max(1, b.N/callers)
			for range callers {
				group.Go(func() {
					for range each {
						k, _ := gauge.ParseIdempotencyKey(time.Now(), "t", uuid.Must(uuid.NewV7()).String())
						if _, inserted, err := c.Insert(context.Background(), k, gauge.ClaimRunning, 1, nil); err != nil || !inserted {
							b.Error(err)
						}
					}
				})
			}
			group.Wait()
			commits, writes := c.CommitCounts()
			b.ReportMetric(float64(writes)/float64(commits), "claims/commit")
			b.ReportMetric(float64(writes)/time.Since(began).Seconds(), "claims/s")
		})
	}
}

// localPeers implements gauge.Peers without a network.
type localPeers struct {
	mu    sync.RWMutex
	nodes map[string]*member.Keeper
	delay time.Duration
}

func (p *localPeers) Call(ctx context.Context, addr, _ string, req, resp any) error {
	p.mu.RLock()
	k := p.nodes[addr]
	p.mu.RUnlock()
	if k == nil {
		return gauge.Errorf(gauge.KindOutage, "no node")
	}
	body, err := frame.Encode(req)
	if err != nil {
		return err
	}
	time.Sleep(p.delay)
	back, err := k.Handle(ctx, body)
	if err != nil {
		return err
	}
	time.Sleep(p.delay)
	raw, err := frame.Encode(back)
	if err != nil {
		return err
	}
	return frame.Decode(raw, resp)
}

// BenchmarkInForce measures the time from the acceptance of a change until all entries have it in
// force, with notifications from peers and with polling alone, and the reads of the table a
// second. The entries run in one process, with a delay of 1.5 ms between them.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		for _, push := range []bool{true, false} {
			b.Run(fmt.Sprintf("entries=%d/push=%t", n, push), func(b *testing.B) { benchmarkInForce(b, n, push) })
		}
	}
}

func benchmarkInForce(b *testing.B, n int, push bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	table := &countingTable{Table: memdb.New(), commitDelay: 2 * time.Millisecond}
	log := revlog.New(table)
	network := &localPeers{nodes: make(map[string]*member.Keeper), delay: 1500 * time.Microsecond}
	followers := make([]*follow.Follower, n)
	var group sync.WaitGroup
	for i := range n {
		self := newMember(i)
		self.Peer = fmt.Sprint("node-", i)
		var keeper *member.Keeper
		followers[i] = follow.New(follow.Config{
			Log: revlog.New(table), Clock: time.Now, Logs: logr.Discard(),
			OnAdopted: func(gauge.State, time.Duration) {
				if push {
					go keeper.SendHeartbeats(ctx)
				}
			},
		})
		keeper = member.New(member.Config{
			Self: self, Table: table, Peers: network, Clock: time.Now, Logs: logr.Discard(),
			Revision: func() int64 { return followers[i].State().Revision },
			Newer: func(r int64) {
				if push {
					followers[i].Wake(r)
				}
			},
		})
		network.mu.Lock()
		network.nodes[self.Peer] = keeper
		network.mu.Unlock()
		group.Go(func() { keeper.Run(ctx) })
		group.Go(func() { followers[i].Run(ctx) })
	}
	time.Sleep(4 * time.Second) // until all entries know each other
	reads, began := table.reads.Load(), time.Now()
	var total, worst time.Duration
	rounds := 0
	for time.Since(began) < 5*time.Second {
		rounds++
		state := followers[0].State()
		t := time.Now()
		c, err := log.Append(ctx, state.Revision, gauge.Change{Records: []gauge.Record{{Kind: gauge.RecordTeam, Name: "t", Team: &gauge.Team{Quota: rounds}}}})
		if err != nil {
			b.Fatal(err)
		}
		followers[0].Wake(c.Revision)
		for i := 0; i < n; {
			if followers[i].State().Revision >= c.Revision {
				i++
				continue
			}
			time.Sleep(200 * time.Microsecond)
		}
		took := time.Since(t)
		total += took
		worst = max(worst, took)
		time.Sleep(100 * time.Millisecond)
	}
	b.ReportMetric(float64(total.Microseconds())/1000/float64(rounds), "mean-ms")
	b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
	b.ReportMetric(float64(table.reads.Load()-reads)/time.Since(began).Seconds(), "reads/s")
	b.ReportMetric(float64(rounds)/time.Since(began).Seconds(), "changes/s")
	cancel()
	group.Wait()
}
