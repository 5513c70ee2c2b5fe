// Package broker moves slot leases between entries: in rounds it sends the
// desks' asks to the pools' owners, one message per owner, and for the pools
// that this entry owns it answers the others' asks.
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

// The names under which the messages go over the mesh.
const (
	MethodAsk   = "ask"
	MethodGrant = "grant"
)

const (
	defaultTerm  = 3 * time.Second
	defaultRound = time.Second
	// soon is the pause between a need of slots and the ask, so that the needs
	// of a burst go into one message.
	soon = 2 * time.Millisecond
)

// asks and grants are the messages.
type asks struct {
	Asks []slots.Ask `msgpack:"a"`
}

type grants struct {
	Grants []slots.Grant `msgpack:"g"`
}

// nothing is the answer to a message that needs none.
type nothing struct{}

// Broker has the desks and owners of this entry.
type Broker struct {
	conf Config
	kick chan struct{}

	mu     sync.RWMutex
	desks  map[string]*desk.Desk
	owners map[string]*owner
	fleets map[string]fleet // by pool, of the state in force
}

// fleet is what can be handed out under one name: a pool's slots, or a team's
// quota as the slots of one room.
type fleet struct {
	slots.Fleet
	limit time.Duration // longest run of a request
}

// Quota is the name under which a team's quota is handed out.
func Quota(team string) string { return "team/" + team }

// owner is one pool that this entry owns, under its own lock.
type owner struct {
	mu    sync.Mutex
	slots *slots.Owner
	sure  time.Time // when this entry was last seen to be the owner
}

// New makes a Broker without desks.
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

// Adopt gives the desks the hosts and quotas of a new state.
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

// quotaHost is the one room that a team's quota is made of.
const quotaHost = "quota"

// bounds returns for each pool how many requests may wait at one entry and how
// long one may run.
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

// Desk returns a pool's desk; nil if there is no such pool.
func (b *Broker) Desk(pool string) *desk.Desk {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.desks[pool]
}

// Counts returns what each desk is doing now.
func (b *Broker) Counts() []desk.Counts {
	b.mu.RLock()
	defer b.mu.RUnlock()
	out := make([]desk.Counts, 0, len(b.desks))
	for _, d := range b.desks {
		out = append(out, d.Counts())
	}
	return out
}

// Run makes rounds until ctx ends: leases are renewed at each tick, and changes
// told as soon as there are some.
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

// round sends what the desks have to say, one message per owner.
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

// send asks an owner. A message that is lost is made good by the next renewal.
func (b *Broker) send(ctx context.Context, addr string, msg *asks) {
	ctx, cancel := context.WithTimeout(ctx, b.conf.Round)
	defer cancel()
	var back grants
	if err := b.conf.Peers.Call(ctx, addr, MethodAsk, msg, &back); err != nil {
		b.conf.Logs.V(1).Info("owner does not answer", "addr", addr, "reason", err.Error())
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

// HandleAsk answers another entry's asks.
func (b *Broker) HandleAsk(ctx context.Context, body []byte) (any, error) {
	var msg asks
	if err := frame.Decode(body, &msg); err != nil {
		return nil, err
	}
	back := b.answer(ctx, msg, b.conf.View())
	return &back, nil
}

// HandleGrant takes in what an owner gives without being asked now.
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

// push sends slots that came free to an entry that waits for some.
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

// own returns the owner of a pool, made anew if this entry was not the owner
// all the time up to now: then it waits out the leases of the owner before it.
// A paused entry wakes with old leases in its memory, while another may have
// been the owner; a gap of a term shows that.
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
		b.conf.Logs.V(1).Info("hands out slots", "pool", pool)
	}
	o.sure = now
	return o
}

// review looks in every round which names are this entry's, so that the wait
// for the owner before it is over before the first ask comes.
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

// disown forgets a pool that is now another's: what was granted here is known
// to the holders, who tell the new owner.
func (b *Broker) disown(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.owners, pool)
}

// Seen passes the platform's host list to the owners.
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
