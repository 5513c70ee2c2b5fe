// Package node puts one entry together: it follows the configuration, the list
// of workers and the leases, claims pools that are without an owner, runs those
// that it owns, and passes notices of jobs on to the owners of the others.
package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	gauge "sapphiregauge"
	"sapphiregauge/internal/fill"
	"sapphiregauge/internal/gate"
	"sapphiregauge/internal/intake"
	"sapphiregauge/internal/mesh"
	"sapphiregauge/internal/owner"
	"sapphiregauge/internal/terms"
	"sapphiregauge/internal/watch"
)

// Config sets up a Node.
type Config struct {
	Name     string  // of this entry's host
	Start    string  // differs between two starts of one host
	Addr     string  // ip:port for other entries
	Capacity float64 // what this host can carry, in cores of plain speed; 0: not known
	Store    gauge.Parted
	Workers  gauge.Workers
	Machines gauge.Machines // nil: the platform has no machine service
	Adviser  gauge.Adviser  // nil: the platform has no advice service
	Words    gauge.Words
	Mesh     *mesh.Node
	Logs     logr.Logger
	Now      func() time.Duration // steady clock
	Wall     func() time.Time
	Count    func(event string, took time.Duration)
	Event    func(event string)                  // counts what an operator should see
	Backlog  func(pool string, b *gauge.Backlog) // told what waits at the owners here; nil: nobody is
	Longest  time.Duration                       // longest lease that a worker takes
	Apply    time.Duration                       // a change of the configuration is in force everywhere so long after it was stored; default 2 s
	TurnGap  time.Duration                       // two entries may not order one machine within this
	Upkeep   time.Duration                       // length of a machine's upkeep
	Keep     time.Duration                       // how long an ended job can be asked for
	Without  gauge.Without                       // what is switched off
}

const (
	// leaseTerm: an owner that is gone is replaced after this. With the table
	// slowed 60 times a renewal is known 1.6 s after the one before was sent.
	leaseTerm = 2 * time.Second
	// grantGrace is how far holds may reach beyond the lease's end, so that runs
	// outlive an outage of the table. A successor waits as long for workers that
	// don't answer.
	grantGrace = 6 * time.Second
	// holdSpan extends a worker's lease: it outlasts the replacement of an owner,
	// which takes the lease's term and about a second, from up to a second after
	// the last hold.
	holdSpan = 4500 * time.Millisecond
	// claimSpread and claimHeld keep entries from claiming one pool at once, and
	// spread the pools over them.
	claimSpread = 200 * time.Millisecond
	claimHeld   = 150 * time.Millisecond
	// regainWait: when the table is back after leasesLost, holders have so long to
	// renew. Their next try may have hung up to 0.8 s before.
	regainWait = 800 * time.Millisecond
	leasesLost = time.Second
	// manageEvery is how often leases are looked at.
	manageEvery = 50 * time.Millisecond
	// feedWait is how long a feed of the configuration waits for a change, at the most. A
	// connection that has gone silent is found out after this and the call's own bound.
	feedWait = time.Second
	// applyLooks is how often an entry makes sure of the configuration, at the least, within
	// the time in which a change has to be in force: one answer may be slow.
	applyLooks = 2
	// defaultApply is what the users' first deployments ask for.
	defaultApply = 2 * time.Second
	// workerWait is that for the list of workers, of which some change every few
	// hundredths of a second: a machine that has moved is of no use before it is seen.
	workerWait = 200 * time.Millisecond
	// leasePause is the time between two looks at the leases, which change with
	// every write of an owner.
	leasePause = 300 * time.Millisecond
	// weakPause is that time at a weak host without a lease: others take what is free
	// before it would, and who owns a pool is told soon enough for the few callers that
	// come to it. Hundreds of such hosts look for nothing most of the time.
	weakPause = 600 * time.Millisecond
	// entryPause is the time between two looks at the entries' rows, and entryWait how
	// long a look waits for a change. Rows change when an entry starts; hundreds that
	// start together are seen in a look or two.
	entryPause = 2 * time.Second
	entryWait  = 10 * time.Second
	// leasesOld: with leases that were seen so long ago nothing is claimed. Each
	// owner renews several times a second.
	leasesOld = 1500 * time.Millisecond
	// workerPause is the time between two looks at the list of workers, which changes
	// all the while: a new worker is used so much later, on average half of it.
	workerPause = 150 * time.Millisecond
	// listLinger is how much longer than it has a pool an entry follows the list of
	// workers: a claim that fails is tried again within this.
	listLinger = 2 * time.Second
	// retryPause is the time between two tries to tell an owner of a job.
	retryPause = 250 * time.Millisecond
	// keepFactor: rows of ended jobs are kept for so many times as long as they
	// have to be told, beyond any late repeat of a hand-in.
	keepFactor  = 3
	noticeTries = 4
	noticeWait  = time.Second
	// cancelWait bounds the try to tell of a cancel that its caller waits for. A call
	// takes some milliseconds, the first one to an owner that has little processor time
	// some hundred; callers wait for 4 s.
	cancelWait = 800 * time.Millisecond
)

// Node is one entry.
type Node struct {
	conf    Config
	holder  string
	intake  *intake.Intake
	site    atomic.Pointer[gauge.Site]
	offset  atomic.Int64                    // the table's clock less ours, nanoseconds
	listing *gate.Gate                      // open while the list of workers is followed
	going   atomic.Bool                     // it takes pools
	sighted atomic.Bool                     // the leases were read once
	ctx     atomic.Pointer[context.Context] // of the running entry
	group   conc.WaitGroup
	known   *knowledge

	// offering is held from the choice of a successor to its answer: leases that this
	// entry offers one after the other go to different entries.
	offering sync.Mutex

	mu        sync.Mutex
	board     *terms.Board
	back      time.Duration // when the table was back last; 0: it was not away
	checked   time.Duration // when the holders were last looked at, while the table is away
	leases    time.Duration // when the last look at the leases that was answered was sent
	restUntil time.Duration // no pool is claimed before
	owners    map[string]*owner.Owner
	busy      map[string]bool          // leases that are claimed or held
	taking    map[string]chan struct{} // pools that are claimed and have no owner here yet; closed when that is over
	moves     map[string]move          // where pools' owners have gone, as told
	offers    map[string]time.Duration // when a successor for a pool was last looked for
	placed    time.Duration            // until then a place is kept for a lease that is to move here
	fleet     *fleet                   // nil: another entry has it
	asked     map[string]bool          // holders' addresses that are asked just now whether they live
	doubted   map[string]time.Duration // owners' addresses that didn't answer, until when they aren't asked
	workers   map[string]gauge.Worker
	spreads   chan struct{} // doubts that all entries are being told of
	waves     map[int64]gauge.UpkeepOrder
}

// move is where a pool's owner has gone, and the version of the lease's row that was
// known then.
type move struct {
	addr    string
	version int64
}

// New makes a Node.
func New(c Config) *Node {
	if c.Capacity == 0 {
		c.Capacity = terms.FullCapacity
	}
	fill.Zero(&c.Apply, defaultApply)
	n := &Node{
		conf: c, holder: c.Name + "/" + c.Start, listing: gate.New(), known: newKnowledge(),
		owners: make(map[string]*owner.Owner), busy: make(map[string]bool), taking: make(map[string]chan struct{}),
		moves: make(map[string]move), offers: make(map[string]time.Duration), doubted: make(map[string]time.Duration), asked: make(map[string]bool), workers: make(map[string]gauge.Worker), spreads: make(chan struct{}, spreadsAtOnce), waves: make(map[int64]gauge.UpkeepOrder),
	}
	n.board = terms.New(terms.Config{Self: n.holder, Addr: c.Addr, Capacity: c.Capacity, Term: leaseTerm, Spread: claimSpread, Held: claimHeld, Suspect: suspectAfter(c.Without), Regain: regainWait})
	n.intake = intake.New(intake.Config{
		Store: c.Store, Logs: c.Logs, Event: c.Event, Now: c.Now, Clock: n.clock, Depth: n.depth, AskDepth: n.askDepth, Tell: n.notify, Ask: n.ask,
		Relay: relay{n}, Unsure: n.tellDoubt, Known: n.knownHere, Without: c.Without,
	})
	c.Mesh.Handle(methodNotice, n.handleNotice)
	c.Mesh.Handle(methodDoubt, n.handleDoubt)
	c.Mesh.Handle(methodEmpty, n.handleEmpty)
	c.Mesh.Handle(methodLoad, n.handleLoad)
	c.Mesh.Handle(methodState, n.handleState)
	c.Mesh.Handle(methodDepth, n.handleDepth)
	c.Mesh.Handle(methodSubmit, n.handleSubmit)
	c.Mesh.Handle(methodCancel, n.handleCancel)
	c.Mesh.Handle(methodProbe, n.handleProbe)
	c.Mesh.Handle(methodOffer, n.handleOffer)
	return n
}

// Jobs is what callers can do here.
func (n *Node) Jobs() gauge.Jobs { return n.intake }

// Site is the newest configuration, nil without one.
func (n *Node) Site() *gauge.Site { return n.site.Load() }

// Serves is the configuration by which callers are served: none before this entry has
// seen who owns the pools. A hand-in that it sent to the table itself then, and that got no
// answer, it could tell nobody of, and the owner refused the caller's next try of a job that
// ran after all.
func (n *Node) Serves() *gauge.Site {
	if !n.sighted.Load() {
		return nil
	}
	return n.Site()
}

// Ready tells whether callers should be sent here. Others know better what there is than
// an entry that can't know whether the configuration has changed.
func (n *Node) Ready() bool { return n.going.Load() && n.Serves() != nil && n.current() }

// Run works until ctx ends, then gives up what it owns; it goes on following the
// configuration until Stop.
func (n *Node) Run(ctx context.Context) {
	n.ctx.Store(&ctx)
	n.going.Store(true)
	n.group.Go(func() {
		n.follow(ctx, watch.Config{
			Name: n.conf.Words.OperatorTable(), Wait: min(feedWait, n.conf.Apply/applyLooks), Renew: true, Pause: always(0), Tell: n.toldOperator,
		})
	})
	n.group.Go(func() {
		n.follow(ctx, watch.Config{Name: gauge.TableEntries, Wait: entryWait, Pause: always(entryPause), Tell: n.toldEntries})
	})
	n.group.Go(func() { n.followWorkers(ctx) })
	n.group.Go(func() {
		n.follow(ctx, watch.Config{Name: gauge.TableLeases, Parted: true, Pause: n.leasePause, Stamp: n.sawLeases, Tell: n.toldLeases})
	})
	n.group.Go(func() { n.manage(ctx) })
	if !n.conf.Without.Has(gauge.MechanismBalance) {
		n.group.Go(func() { n.spread(ctx) })
	}
	n.group.Go(func() { n.register(ctx) })
	n.group.Wait()
}

// Release gives up the pools that this entry owns and takes no more. While the table is
// slow or away it keeps them for some time, as long as they are better off here.
func (n *Node) Release(ctx context.Context, patience time.Duration) {
	n.going.Store(false)
	until := n.conf.Now() + patience
	n.mu.Lock()
	owners := make([]*owner.Owner, 0, len(n.owners))
	for _, o := range n.owners {
		owners = append(owners, o)
	}
	n.mu.Unlock()
	var group conc.WaitGroup
	for _, o := range owners {
		group.Go(func() {
			for !n.conf.Without.Has(gauge.MechanismCalm) && !o.Calm() && n.conf.Now() < until && ctx.Err() == nil {
				pause(ctx, calmLook)
			}
			n.handOver(ctx, o, "the entry stops")
		})
	}
	group.Wait()
}

// calmLook is how often an entry that stops looks whether the table is quick again.
const calmLook = 50 * time.Millisecond

// context is that of the running entry.
func (n *Node) context() context.Context { return *n.ctx.Load() }
