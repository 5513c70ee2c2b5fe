// Package broker exchanges slot leases between entries. In rounds it sends the dispatchers' lease
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
	Term  time.Duration // of a lease; default 3 s
	Round time.Duration // between two rounds; default 1 s
	Seed  uint64
}

// The method names of the messages between entries.
const (
	MethodAsk   = "ask"
	MethodGrant = "grant"
)

const (
	defaultTerm  = 3 * time.Second
	defaultRound = time.Second
	// requestDelay is the pause between a need for slots and the lease request, so that the needs
	// of a burst go into one message.
	soon = 2 * time.Millisecond
)

// requestMsg and grantMsg are the messages between entries.
type asks struct {
	Asks []slots.Ask `msgpack:"a"`
}

type grants struct {
	Grants []slots.Grant `msgpack:"g"`
}

// emptyReply answers a message that needs no answer.
type nothing struct{}

// Broker has the dispatchers of this entry, and the owners of the pools that it owns.
type Broker struct {
	conf Config
	kick chan struct{}

	mu     sync.RWMutex
	desks  map[string]*desk.Desk
	owners map[string]*owner
	fleets map[string]fleet // by pool, of the configuration in force
}

// leasable is what can be leased out under one name: a pool's slots, or a team's quota as the slots
// of a single made-up host.
type fleet struct {
	slots.Fleet
	limit time.Duration // longest run of a request
}

// Quota is the name under which a team's quota is leased out.
func Quota(team string) string { return "team/" + team }

// owner leases out one pool that this entry owns, under its own lock.
type owner struct {
	mu    sync.Mutex
	slots *slots.Owner
	sure  time.Time // when this entry was last known to be the owner
}

// New returns a Broker without dispatchers.
func New(c Config) *Broker {
	fill.Zero(&c.Term, defaultTerm)
	fill.Zero(&c.Round, defaultRound)
	return &Broker{
		conf: c, kick: make(chan struct{}, 1),
		desks: make(map[string]*desk.Desk), owners: make(map[string]*owner),
	}
}

func (b *Broker) name() string { return b.conf.Self.ID + "/" + b.conf.Self.Run }

func (b *Broker) kicked() {
	select {
	case b.kick <- struct{}{}:
	default: // a round is due already
	}
}

// Adopt gives the dispatchers the hosts and quotas of a new configuration state.
func (b *Broker) Adopt(s gauge.State) {
	byPool := make(map[string]gauge.Hosts)
	rooms := make(map[string][]slots.Room)
	for _, h := range s.Hosts().Serving() {
		byPool[h.Pool] = append(byPool[h.Pool], h)
		rooms[h.Pool] = append(rooms[h.Pool], slots.Room{Host: h.ID, Slots: h.Slots})
	}
	lengths, limits := bounds(s)
	fleets := make(map[string]fleet)
	for _, name := range s.Names(gauge.RecordPool) {
		p := s.Pool(name)
		fleets[name] = fleet{
			Fleet: slots.Fleet{Hosts: rooms[name], Reserve: p.Reserve, Floor: p.Floor},
			limit: limits[name],
		}
		b.deskFor(name, lengths[name]).Set(byPool[name], p.Hosts)
	}
	for _, name := range s.Names(gauge.RecordTeam) {
		quota := s.Team(name).Quota
		fleets[Quota(name)] = fleet{Fleet: slots.Fleet{Hosts: []slots.Room{{Host: quotaHost, Slots: quota}}}}
		b.deskFor(Quota(name), quota).Set(gauge.Hosts{{ID: quotaHost, State: gauge.HostServing}}, 1)
	}
	b.mu.Lock()
	b.fleets = fleets
	b.mu.Unlock()
}

// quotaHost is the made-up host whose slots are a team's quota.
const quotaHost = "quota"

// poolLimits returns for each pool how many requests may wait at one entry and how long one may
// run.
func bounds(s gauge.State) (lengths map[string]int, limits map[string]time.Duration) {
	lengths, limits = make(map[string]int), make(map[string]time.Duration)
	for _, name := range s.Names(gauge.RecordService) {
		svc := s.Service(name)
		lengths[svc.Pool] = max(lengths[svc.Pool], svc.Queue)
		limits[svc.Pool] = max(limits[svc.Pool], svc.Limit)
	}
	return lengths, limits
}

func (b *Broker) deskFor(pool string, length int) *desk.Desk {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.desks[pool]
	if d == nil {
		d = desk.New(desk.Config{
			Pool: pool, Name: b.name(), Length: max(1, length), Clock: b.conf.Clock,
			Random: rand.New(rand.NewPCG(b.conf.Seed, uint64(len(b.desks)))), Kick: b.kicked,
		})
		b.desks[pool] = d
	}
	return d
}

// Desk returns a pool's dispatcher; nil if there is no such pool.
func (b *Broker) Desk(pool string) *desk.Desk {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.desks[pool]
}

// Counts returns the current state of each dispatcher.
func (b *Broker) Counts() []desk.Counts {
	b.mu.RLock()
	defer b.mu.RUnlock()
	out := make([]desk.Counts, 0, len(b.desks))
	for _, d := range b.desks {
		out = append(out, d.Counts())
	}
	return out
}

// Run makes rounds until ctx ends: leases are renewed at each tick, and changes are sent as soon as
// there are some.
func (b *Broker) Run(ctx context.Context) {
	tick := time.NewTicker(b.conf.Round)
	defer tick.Stop()
	var group conc.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			b.review(b.conf.View())
			b.round(ctx, &group, (*desk.Desk).Renew)
		case <-b.kick:
			time.Sleep(soon)
			b.round(ctx, &group, (*desk.Desk).Ask)
		}
	}
}

// sendRequests sends the dispatchers' lease requests, one message per owner.
func (b *Broker) round(ctx context.Context, group *conc.WaitGroup, say func(*desk.Desk) (slots.Ask, bool)) {
	view := b.conf.View()
	byOwner := make(map[string]*asks)
	addrs := make(map[string]string)
	for pool, d := range b.all() {
		a, ok := say(d)
		if !ok {
			continue
		}
		m := peers.Owner(view.Live, pool)
		if byOwner[m.ID] == nil {
			byOwner[m.ID] = &asks{}
			addrs[m.ID] = m.Peer
		}
		byOwner[m.ID].Asks = append(byOwner[m.ID].Asks, a)
	}
	for id, msg := range byOwner {
		group.Go(func() {
			if id == b.conf.Self.ID {
				b.take(b.answer(ctx, *msg, view))
				return
			}
			b.send(ctx, addrs[id], msg)
		})
	}
}

func (b *Broker) all() map[string]*desk.Desk {
	b.mu.RLock()
	defer b.mu.RUnlock()
	out := make(map[string]*desk.Desk, len(b.desks))
	for pool, d := range b.desks {
		out[pool] = d
	}
	return out
}

// sendToOwner sends lease requests to an owner. The next renewal makes up for a lost message.
func (b *Broker) send(ctx context.Context, addr string, msg *asks) {
	ctx, cancel := context.WithTimeout(ctx, b.conf.Round)
	defer cancel()
	var back grants
	if err := b.conf.Peers.Call(ctx, addr, MethodAsk, msg, &back); err != nil {
		b.conf.Logs.V(1).Info("pool owner did not answer", "addr", addr, "reason", err.Error())
		return
	}
	b.take(back)
}

func (b *Broker) take(g grants) {
	for _, one := range g.Grants {
		if d := b.Desk(one.Pool); d != nil {
			d.Grant(one)
		}
	}
}

// HandleAsk answers another entry's lease requests.
func (b *Broker) HandleAsk(ctx context.Context, body []byte) (any, error) {
	var msg asks
	if err := frame.Decode(body, &msg); err != nil {
		return nil, err
	}
	back := b.answer(ctx, msg, b.conf.View())
	return &back, nil
}

// HandleGrant takes in slots that an owner grants after it answered the request.
func (b *Broker) HandleGrant(_ context.Context, body []byte) (any, error) {
	var msg grants
	if err := frame.Decode(body, &msg); err != nil {
		return nil, err
	}
	b.take(msg)
	return &nothing{}, nil
}

func (b *Broker) answer(ctx context.Context, msg asks, view member.View) grants {
	var out grants
	others := make(map[string]*grants)
	for _, a := range msg.Asks {
		g, pushes := b.answerOne(a, view)
		out.Grants = append(out.Grants, g)
		for _, p := range pushes {
			if others[p.Holder] == nil {
				others[p.Holder] = &grants{}
			}
			others[p.Holder].Grants = append(others[p.Holder].Grants, p.Grant)
		}
	}
	for holder, g := range others {
		b.push(ctx, holder, g, view)
	}
	return out
}

func (b *Broker) answerOne(a slots.Ask, view member.View) (slots.Grant, []slots.Push) {
	b.mu.RLock()
	f, ok := b.fleets[a.Pool]
	b.mu.RUnlock()
	if !ok || peers.Owner(view.Live, a.Pool).ID != b.conf.Self.ID {
		b.disown(a.Pool)
		return slots.Grant{Pool: a.Pool, Seq: a.Seq, Not: true}, nil
	}
	f.Same, f.Known = view.Same, view.Known
	o := b.own(a.Pool, f.limit)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slots.Set(f.Fleet)
	return o.slots.Ask(b.conf.Clock(), a)
}

// pushGrants sends slots that came free to an entry that waits for some.
func (b *Broker) push(ctx context.Context, holder string, g *grants, view member.View) {
	if holder == b.name() {
		b.take(*g)
		return
	}
	for _, m := range view.Live {
		if m.ID+"/"+m.Run != holder {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.conf.Round)
			defer cancel()
			_ = b.conf.Peers.Call(ctx, m.Peer, MethodGrant, g, &nothing{})
		}()
	}
}

// currentOwner returns the owner of a pool. It is created anew if this entry wasn't the owner all
// the time up to now, and then waits until the leases of the previous owner have expired. An entry
// that was paused still has old leases in memory, while another may have been the owner; a gap of
// more than a lease duration shows that.
func (b *Broker) own(pool string, limit time.Duration) *owner {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.conf.Clock()
	o := b.owners[pool]
	if o == nil || now.Sub(o.sure) > b.conf.Term {
		o = &owner{slots: slots.New(slots.Config{
			Pool: pool, Term: b.conf.Term, Limit: limit, Start: now,
		})}
		b.owners[pool] = o
		b.conf.Logs.V(1).Info("leasing out slots as pool owner", "pool", pool)
	}
	o.sure = now
	return o
}

// updateOwners determines in every round which pools are this entry's, so that the wait for the
// previous owner's leases is over before the first request comes.
func (b *Broker) review(view member.View) {
	b.mu.RLock()
	fleets := b.fleets
	b.mu.RUnlock()
	for name, f := range fleets {
		if peers.Owner(view.Live, name).ID == b.conf.Self.ID {
			b.own(name, f.limit)
		} else {
			b.disown(name)
		}
	}
}

// dropOwner forgets a pool that another entry owns now. Its holders know what was granted here and
// report it to the new owner.
func (b *Broker) disown(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.owners, pool)
}

// ObserveHosts passes the platform's host list to the owners.
func (b *Broker) Seen(list gauge.Sightings) {
	b.mu.RLock()
	owners := make([]*owner, 0, len(b.owners))
	for _, o := range b.owners {
		owners = append(owners, o)
	}
	b.mu.RUnlock()
	now := b.conf.Clock()
	for _, o := range owners {
		o.mu.Lock()
		for _, s := range list {
			o.slots.Seen(s.ID, s.Used, now.Add(-s.Age))
		}
		o.mu.Unlock()
	}
}
