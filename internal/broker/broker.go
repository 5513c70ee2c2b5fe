// Package broker exchanges slot leases between entries. In rounds it sends the allocators' lease
// requests to the pools' owners, one message per owner, and it answers the other entries' requests
// for the pools that this entry owns.
package broker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	gauge "sapphiregauge"
	"sapphiregauge/internal/desk"
	"sapphiregauge/internal/fill"
	"sapphiregauge/internal/frame"
	"sapphiregauge/internal/member"
	"sapphiregauge/internal/peers"
	"sapphiregauge/internal/slots"
)

// Config sets up a Broker.
type Config struct {
	Self  gauge.Member
	Peers gauge.Peers
	View  func() member.View
	Clock gauge.Clock
	Logs  logr.Logger
	Term  time.Duration // duration of a lease; default 3 s
	Round time.Duration // between two rounds; default 1 s
	Seed  uint64
}

// The method names of the messages between entries.
const (
	MethodRequest = "ask"
	MethodGrant   = "grant"
)

const (
	defaultLeaseDuration = 3 * time.Second
	defaultRoundInterval = time.Second
	// requestDelay is the pause between a need for slots and the lease request, so that the needs
	// of a burst go into one message.
	requestDelay = 2 * time.Millisecond
)

// requestMsg and grantMsg are the messages between entries.
type requestMsg struct {
	Requests []slots.LeaseRequest `msgpack:"a"`
}

type grantMsg struct {
	Grants []slots.Grant `msgpack:"g"`
}

// emptyReply answers a message whose answer carries nothing.
type emptyReply struct{}

// Broker has the allocators of this entry and the owners of the pools that it owns.
type Broker struct {
	conf Config
	wake chan struct{}

	mu             sync.RWMutex
	allocators     map[string]*desk.Allocator
	owners         map[string]*owner
	leasableByName map[string]leasable // of the configuration in force
}

// leasable is what can be leased out under one name: a pool's slots, or a team's quota, which is
// represented as the slots of a single placeholder host.
type leasable struct {
	slots.Fleet
	maxRunTime time.Duration // longest run of a request
}

// QuotaName is the name under which a team's quota is leased out.
func QuotaName(team string) string { return "team/" + team }

// owner leases out one pool that this entry owns, under its own lock.
type owner struct {
	mu            sync.Mutex
	slots         *slots.Owner
	lastConfirmed time.Time // when this entry was last known to be the owner
}

// New returns a Broker without allocators.
func New(c Config) *Broker {
	fill.Zero(&c.Term, defaultLeaseDuration)
	fill.Zero(&c.Round, defaultRoundInterval)
	return &Broker{
		conf: c, wake: make(chan struct{}, 1),
		allocators: make(map[string]*desk.Allocator), owners: make(map[string]*owner),
	}
}

func (b *Broker) holderName() string { return b.conf.Self.ID + "/" + b.conf.Self.StartID }

func (b *Broker) requestSoon() {
	select {
	case b.wake <- struct{}{}:
	default: // a round is due already
	}
}

// ApplyState gives the allocators the hosts and quotas of a new configuration state.
func (b *Broker) ApplyState(s gauge.State) {
	byPool := make(map[string]gauge.Hosts)
	capacities := make(map[string][]slots.HostCapacity)
	for _, h := range s.Hosts().ServingHosts() {
		byPool[h.Pool] = append(byPool[h.Pool], h)
		capacities[h.Pool] = append(capacities[h.Pool], slots.HostCapacity{Host: h.ID, Slots: h.Slots})
	}
	maxWaiting, maxRunTimes := poolLimits(s)
	byName := make(map[string]leasable)
	for _, name := range s.RecordNames(gauge.RecordPool) {
		p := s.Pool(name)
		byName[name] = leasable{
			Fleet:      slots.Fleet{Hosts: capacities[name], Reserve: p.QuickReserve, Floor: p.LongReserve},
			maxRunTime: maxRunTimes[name],
		}
		b.allocatorFor(name, maxWaiting[name]).SetHosts(byPool[name], p.Hosts)
	}
	for _, name := range s.RecordNames(gauge.RecordTeam) {
		quota := s.Team(name).Quota
		byName[QuotaName(name)] = leasable{Fleet: slots.Fleet{Hosts: []slots.HostCapacity{{Host: quotaHost, Slots: quota}}}}
		b.allocatorFor(QuotaName(name), quota).SetHosts(gauge.Hosts{{ID: quotaHost, State: gauge.HostServing}}, 1)
	}
	b.mu.Lock()
	b.leasableByName = byName
	b.mu.Unlock()
}

// quotaHost is the placeholder host whose slots are a team's quota.
const quotaHost = "quota"

// poolLimits returns for each pool how many requests may wait at one entry and how long one may
// run.
func poolLimits(s gauge.State) (maxWaiting map[string]int, maxRunTimes map[string]time.Duration) {
	maxWaiting, maxRunTimes = make(map[string]int), make(map[string]time.Duration)
	for _, name := range s.RecordNames(gauge.RecordService) {
		svc := s.Service(name)
		maxWaiting[svc.Pool] = max(maxWaiting[svc.Pool], svc.MaxQueued)
		maxRunTimes[svc.Pool] = max(maxRunTimes[svc.Pool], svc.MaxTimeout)
	}
	return maxWaiting, maxRunTimes
}

func (b *Broker) allocatorFor(pool string, maxWaiting int) *desk.Allocator {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.allocators[pool]
	if a == nil {
		a = desk.New(desk.Config{
			Pool: pool, Holder: b.holderName(), MaxWaiting: max(1, maxWaiting), Clock: b.conf.Clock,
			Random: rand.New(rand.NewPCG(b.conf.Seed, uint64(len(b.allocators)))), RequestSoon: b.requestSoon,
		})
		b.allocators[pool] = a
	}
	return a
}

// Allocator returns a pool's allocator; nil if there is no such pool.
func (b *Broker) Allocator(pool string) *desk.Allocator {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.allocators[pool]
}

// Counts returns the current state of each allocator.
func (b *Broker) Counts() []desk.Counts {
	b.mu.RLock()
	defer b.mu.RUnlock()
	out := make([]desk.Counts, 0, len(b.allocators))
	for _, a := range b.allocators {
		out = append(out, a.Counts())
	}
	return out
}

// Run makes rounds until ctx ends: leases are renewed at each tick, and changes are sent as soon as
// they arise.
func (b *Broker) Run(ctx context.Context) {
	tick := time.NewTicker(b.conf.Round)
	defer tick.Stop()
	var calls conc.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			b.updateOwners(b.conf.View())
			b.sendRequests(ctx, &calls, (*desk.Allocator).RenewRequest)
		case <-b.wake:
			time.Sleep(requestDelay)
			b.sendRequests(ctx, &calls, (*desk.Allocator).NextRequest)
		}
	}
}

// sendRequests sends the allocators' lease requests, one message per owner.
func (b *Broker) sendRequests(ctx context.Context, calls *conc.WaitGroup, nextRequest func(*desk.Allocator) (slots.LeaseRequest, bool)) {
	view := b.conf.View()
	byOwner := make(map[string]*requestMsg)
	addrs := make(map[string]string)
	for pool, a := range b.allAllocators() {
		request, ok := nextRequest(a)
		if !ok {
			continue
		}
		m := peers.Owner(view.Live, pool)
		if byOwner[m.ID] == nil {
			byOwner[m.ID] = &requestMsg{}
			addrs[m.ID] = m.Peer
		}
		byOwner[m.ID].Requests = append(byOwner[m.ID].Requests, request)
	}
	for id, msg := range byOwner {
		calls.Go(func() {
			if id == b.conf.Self.ID {
				b.applyGrants(b.answerRequests(ctx, *msg, view))
				return
			}
			b.sendToOwner(ctx, addrs[id], msg)
		})
	}
}

func (b *Broker) allAllocators() map[string]*desk.Allocator {
	b.mu.RLock()
	defer b.mu.RUnlock()
	out := make(map[string]*desk.Allocator, len(b.allocators))
	for pool, a := range b.allocators {
		out[pool] = a
	}
	return out
}

// sendToOwner sends lease requests to an owner. The next renewal makes up for a lost message.
func (b *Broker) sendToOwner(ctx context.Context, addr string, msg *requestMsg) {
	ctx, cancel := context.WithTimeout(ctx, b.conf.Round)
	defer cancel()
	var reply grantMsg
	if err := b.conf.Peers.Call(ctx, addr, MethodRequest, msg, &reply); err != nil {
		b.conf.Logs.V(1).Info("pool owner did not answer", "addr", addr, "reason", err.Error())
		return
	}
	b.applyGrants(reply)
}

func (b *Broker) applyGrants(g grantMsg) {
	for _, grant := range g.Grants {
		if a := b.Allocator(grant.Pool); a != nil {
			a.ApplyGrant(grant)
		}
	}
}

// HandleRequest answers another entry's lease requests.
func (b *Broker) HandleRequest(ctx context.Context, body []byte) (any, error) {
	var msg requestMsg
	if err := frame.Decode(body, &msg); err != nil {
		return nil, err
	}
	reply := b.answerRequests(ctx, msg, b.conf.View())
	return &reply, nil
}

// HandleGrant adds slots that an owner grants some time after it answered the request.
func (b *Broker) HandleGrant(_ context.Context, body []byte) (any, error) {
	var msg grantMsg
	if err := frame.Decode(body, &msg); err != nil {
		return nil, err
	}
	b.applyGrants(msg)
	return &emptyReply{}, nil
}

func (b *Broker) answerRequests(ctx context.Context, msg requestMsg, view member.View) grantMsg {
	var out grantMsg
	others := make(map[string]*grantMsg)
	for _, request := range msg.Requests {
		g, pushes := b.answerRequest(request, view)
		out.Grants = append(out.Grants, g)
		for _, p := range pushes {
			if others[p.Holder] == nil {
				others[p.Holder] = &grantMsg{}
			}
			others[p.Holder].Grants = append(others[p.Holder].Grants, p.Grant)
		}
	}
	for holder, g := range others {
		b.pushGrants(ctx, holder, g, view)
	}
	return out
}

func (b *Broker) answerRequest(request slots.LeaseRequest, view member.View) (slots.Grant, []slots.Push) {
	b.mu.RLock()
	f, ok := b.leasableByName[request.Pool]
	b.mu.RUnlock()
	if !ok || peers.Owner(view.Live, request.Pool).ID != b.conf.Self.ID {
		b.dropOwner(request.Pool)
		return slots.Grant{Pool: request.Pool, Seq: request.Seq, Rejected: true}, nil
	}
	f.SameViewCount, f.KnownCount = view.Same, view.Known
	o := b.currentOwner(request.Pool, f.maxRunTime)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slots.SetFleet(f.Fleet)
	return o.slots.HandleRequest(b.conf.Clock(), request)
}

// pushGrants sends slots that became free to an entry that waits for some.
func (b *Broker) pushGrants(ctx context.Context, holder string, g *grantMsg, view member.View) {
	if holder == b.holderName() {
		b.applyGrants(*g)
		return
	}
	for _, m := range view.Live {
		if m.ID+"/"+m.StartID != holder {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.conf.Round)
			defer cancel()
			_ = b.conf.Peers.Call(ctx, m.Peer, MethodGrant, g, &emptyReply{})
		}()
	}
}

// currentOwner returns the owner of a pool. It is created again if this entry wasn't the owner all
// the time up to now, and then waits until the leases of the previous owner have expired. An entry
// that was paused still has old leases in memory, while another may have been the owner; a gap of
// more than a lease duration shows that.
func (b *Broker) currentOwner(pool string, maxRunTime time.Duration) *owner {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.conf.Clock()
	o := b.owners[pool]
	if o == nil || now.Sub(o.lastConfirmed) > b.conf.Term {
		o = &owner{slots: slots.New(slots.Config{
			Pool: pool, LeaseDuration: b.conf.Term, MaxRunTime: maxRunTime, OwnerSince: now,
		})}
		b.owners[pool] = o
		b.conf.Logs.V(1).Info("leasing out slots as pool owner", "pool", pool)
	}
	o.lastConfirmed = now
	return o
}

// updateOwners determines in every round which pools are this entry's, so that the wait for the
// previous owner's leases is over before the first request arrives.
func (b *Broker) updateOwners(view member.View) {
	b.mu.RLock()
	byName := b.leasableByName
	b.mu.RUnlock()
	for name, f := range byName {
		if peers.Owner(view.Live, name).ID == b.conf.Self.ID {
			b.currentOwner(name, f.maxRunTime)
		} else {
			b.dropOwner(name)
		}
	}
}

// dropOwner drops the state of a pool that another entry owns now. Its holders know what was
// granted here and report it to the new owner.
func (b *Broker) dropOwner(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.owners, pool)
}

// ObserveHosts passes the platform's host list to the owners.
func (b *Broker) ObserveHosts(list gauge.HostList) {
	b.mu.RLock()
	owners := make([]*owner, 0, len(b.owners))
	for _, o := range b.owners {
		owners = append(owners, o)
	}
	b.mu.RUnlock()
	now := b.conf.Clock()
	for _, o := range owners {
		o.mu.Lock()
		for _, h := range list {
			o.slots.ObserveUsage(h.ID, h.Used, now.Add(-h.Age))
		}
		o.mu.Unlock()
	}
}
