// Package node assembles one entry, the process that takes requests on a host. It follows the
// configuration, the list of workers and the leases, claims pools that have no owner, runs the
// pools that it owns, and notifies the owners of other pools of new and cancelled jobs.
package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	gauge "sapphiregauge"
	"sapphiregauge/internal/access"
	"sapphiregauge/internal/fill"
	"sapphiregauge/internal/filter"
	"sapphiregauge/internal/gate"
	"sapphiregauge/internal/intake"
	"sapphiregauge/internal/mesh"
	"sapphiregauge/internal/owner"
	"sapphiregauge/internal/terms"
	"sapphiregauge/internal/watch"
)

// Config sets up a Node.
type Config struct {
	Name          string  // name of this entry's host
	StartID       string  // identifies this process: differs between two starts on one host
	Addr          string  // ip:port at which other entries reach this one
	CapacityCores float64 // of this host, in cores of standard speed; 0: not known
	Store         gauge.PartitionedTable
	Workers       gauge.Workers
	Machines      gauge.Machines   // nil: the platform has no machine service
	Adviser       gauge.Adviser    // nil: the platform has no advice service
	Codec         gauge.TableCodec // reads and writes the rows of operator and workers
	Mesh          *mesh.Node
	Logs          logr.Logger
	Now           func() time.Duration                   // monotonic clock
	WallClock     func() time.Time                       // wall clock
	ObserveCall   func(event string, took time.Duration) // records the duration of a call
	CountEvent    func(event string)                     // counts an event that an operator should see
	// ObserveBacklog receives the backlog of each pool that is owned here; nil: it is not reported.
	ObserveBacklog func(pool string, b *gauge.Backlog)
	MaxWorkerLease time.Duration // longest lease that a worker accepts
	MaxRowBytes    int           // size limit of a row in the table; 0: none
	// MaxApplyDelay is how long after a configuration change was stored it is in force at all
	// entries; default 2 s.
	MaxApplyDelay time.Duration
	// MaxKeyDelay is how long after a configuration was stored a key that it withdraws may still be
	// accepted; 0: this is not bounded.
	MaxKeyDelay time.Duration
	// MinOrderInterval is the minimum time between orders of two entries for the same machine.
	MinOrderInterval    time.Duration
	MaxOrderRate        float64        // most orders for machines that the machine service takes in a second; 0: unknown
	MaintenanceDuration time.Duration  // duration of a machine's maintenance
	JobRetention        time.Duration  // how long callers can query an ended job
	Disabled            gauge.Disabled // mechanisms that are switched off
}

const (
	// leaseDuration is the duration of an owner's lease: a lost owner is replaced after this. With
	// a table that is 60 times slower than usual, a renewal is confirmed 1.6 s after the previous
	// one was sent.
	leaseDuration = 2 * time.Second
	// workerLeaseGrace is how far worker leases may reach beyond the end of the owner's lease, so
	// that runs survive a table outage. A successor waits this long for workers that don't answer.
	workerLeaseGrace = 6 * time.Second
	// workerLeaseDuration is the worker lease that each heartbeat requests. It outlasts the
	// replacement of an owner, which takes leaseDuration and about 1 s, counted from up to 1 s
	// after the last heartbeat.
	workerLeaseDuration = 4500 * time.Millisecond
	// claimSpread and claimDelayPerLease delay claims, so that entries don't claim one pool at the
	// same time, and so that pools are spread over the entries.
	claimSpread        = 200 * time.Millisecond
	claimDelayPerLease = 150 * time.Millisecond
	// renewalGrace is how long holders may take to renew their leases when the table answers again
	// after an outage. Their next attempt may have been hanging for up to 0.8 s.
	renewalGrace = 800 * time.Millisecond
	// tableOutageAfter is how long reads of the leases must have failed for the table to count as
	// unreachable.
	tableOutageAfter = time.Second
	// manageInterval is the interval between two checks of the leases that were seen.
	manageInterval = 50 * time.Millisecond
	// maxConfigPollTimeout bounds how long a feed of the configuration waits for a change. A
	// connection that no longer carries data is detected after this and the timeout of the call
	// itself.
	maxConfigPollTimeout = 2 * time.Second
	// configPollsPerApply is the minimum number of configuration polls within the time in which a
	// change has to be in force: a single answer may be slow.
	configPollsPerApply = 2
	// defaultApplyDelay is the value that the first deployments require.
	defaultApplyDelay = 2 * time.Second
	// workerPollTimeout bounds how long a feed of the list of workers waits for a change. Some
	// workers change every few hundredths of a second, and a machine that has moved can't be used
	// before it is seen.
	workerPollTimeout = 200 * time.Millisecond
	// leasePollDelay is the pause between two polls of the leases, which change with every write of
	// an owner.
	leasePollDelay = 300 * time.Millisecond
	// smallHostLeasePollDelay is the pause at a small host without a lease. Larger hosts claim free
	// pools before it would, and the few callers that use it learn of a new owner soon enough.
	// Hundreds of such hosts find nothing new most of the time.
	smallHostLeasePollDelay = 600 * time.Millisecond
	// entryPollDelay is the pause between two polls of the entries' rows, and entryPollTimeout how
	// long a poll waits for a change. A row changes when its entry starts; hundreds of entries that
	// start together are seen in one or two polls.
	entryPollDelay   = 2 * time.Second
	entryPollTimeout = 10 * time.Second
	// maxClaimViewAge is the maximum age of the lease table view for claims: with an older one
	// nothing is claimed. Each owner renews its lease several times a second.
	maxClaimViewAge = 1500 * time.Millisecond
	// workerPollDelay is the pause between two polls of the list of workers, which changes
	// continually. It delays the use of a new worker, by half of it on average.
	workerPollDelay = 150 * time.Millisecond
	// workerListLinger is how long an entry goes on following the list of workers when it isn't
	// needed any more: reading the whole list again costs as much as following it for as long.
	workerListLinger = 2 * time.Second
	// notificationRetryDelay is the pause between two attempts to notify a pool owner of a job.
	notificationRetryDelay = 250 * time.Millisecond
	// retentionFactor times Config.JobRetention is how long the rows of an ended job are kept,
	// which is longer than a late repetition of its submission can take to arrive.
	retentionFactor      = 3
	notificationAttempts = 4
	notificationTimeout  = time.Second
	// cancelNotificationTimeout bounds the attempt to notify the owner of a cancellation while the
	// caller waits. A call takes some milliseconds, or some hundred for the first one to an owner
	// that is short of processor time; callers wait for 4 s.
	cancelNotificationTimeout = 800 * time.Millisecond
)

// Node is one entry.
type Node struct {
	conf           Config
	holder         string // identifies this process as a holder of leases
	intake         *intake.Intake
	site           atomic.Pointer[gauge.Site]
	clockOffset    atomic.Int64 // table's clock minus the local one, in nanoseconds
	workerListGate *gate.Gate   // open while the list of workers is followed
	leaseGate      *gate.Gate   // open while the leases are followed
	// running is set by Run and cleared by Release; no leases are taken while it is false.
	running    atomic.Bool
	leasesRead atomic.Bool                     // the leases were read at least once
	ctx        atomic.Pointer[context.Context] // of Run
	group      conc.WaitGroup
	freshness  *freshness
	guard      *access.Guard
	// configUnusable says that the newest configuration in the table can't be decoded.
	configUnusable atomic.Bool

	// offerMu is held from the search for a successor until it has answered the offer, so that
	// leases that this entry offers one after the other go to different entries.
	offerMu sync.Mutex

	mu               sync.Mutex
	leaseView        *terms.LeaseView // view of the lease table
	tableBackAt      time.Duration    // when the table last became reachable again; 0: there was no outage
	holdersCheckedAt time.Duration    // last check of the holders during a table outage
	leasesReadAt     time.Duration    // when the last successful read of the leases was sent; 0: they aren't followed
	tableReachedAt   time.Duration    // when the last call was sent that the table has answered
	watchLeasesUntil time.Duration    // until when the leases are followed even if none is held or claimed
	claimPauseUntil  time.Duration    // no pool is claimed before this
	owners           map[string]*owner.Owner
	ownedSince       map[string]time.Duration // by pool: when its owner here began
	managedAt        time.Duration            // when manage last ran
	resumedAt        time.Duration            // when this process last went on after standing still
	leasesInUse      map[string]bool          // leases that are being claimed or held
	// claiming holds, for each pool that is being claimed and has no owner here yet, a channel that
	// is closed when the claim has ended.
	claiming map[string]chan struct{}
	// ownerMoves holds where the owners of pools have moved, as other entries reported it.
	ownerMoves        map[string]ownerMove
	lastOffers        map[string]time.Duration // by pool: last search for a successor
	reservedUntil     time.Duration            // end of the reservation for a lease that is about to move here
	fleet             *fleet                   // nil: another entry holds the fleet lease
	probing           map[string]bool          // addresses of holders with a liveness probe in flight
	unresponsiveUntil map[string]time.Duration // by address: until when an unresponsive owner isn't called
	// workers is the list of workers while this entry reads it itself, as of workersVersion, and
	// filter the same by pool, for owners at other entries. workersChanged is closed and replaced
	// when a worker has changed.
	workers             map[string]gauge.Worker
	workersVersion      int64
	filter              *filter.Filter
	workersChanged      chan struct{}
	poolsWithoutUpdates map[string]bool // pools owned here whose workers nobody tells this entry of
	broadcasts          chan struct{}   // semaphore of the broadcasts of unsettled submissions
	waves               map[int64]gauge.MaintenanceWave
}

// ownerMove is where a pool's owner has moved, and the version of the lease row that was known at
// that time.
type ownerMove struct {
	addr    string
	version int64
}

// New returns a Node; Run starts it.
func New(c Config) *Node {
	if c.CapacityCores == 0 {
		c.CapacityCores = terms.DefaultCapacity
	}
	fill.Zero(&c.MaxApplyDelay, defaultApplyDelay)
	n := &Node{
		conf: c, holder: c.Name + "/" + c.StartID, workerListGate: gate.New(), leaseGate: gate.New(), freshness: newFreshness(),
		guard:  access.New(access.Config{MaxApplyDelay: c.MaxApplyDelay, MaxKeyDelay: c.MaxKeyDelay}),
		owners: make(map[string]*owner.Owner), ownedSince: make(map[string]time.Duration), leasesInUse: make(map[string]bool), claiming: make(map[string]chan struct{}),
		ownerMoves: make(map[string]ownerMove), lastOffers: make(map[string]time.Duration), unresponsiveUntil: make(map[string]time.Duration), probing: make(map[string]bool), workers: make(map[string]gauge.Worker), broadcasts: make(chan struct{}, maxConcurrentBroadcasts), waves: make(map[int64]gauge.MaintenanceWave),
	}
	n.filter, n.workersChanged, n.poolsWithoutUpdates = n.newFilter(), make(chan struct{}), make(map[string]bool)
	n.leaseView = terms.New(terms.Config{Holder: n.holder, Addr: c.Addr, Capacity: c.CapacityCores, LeaseDuration: leaseDuration, ClaimSpread: claimSpread, DelayPerLease: claimDelayPerLease, ProbeAfter: suspectAfter(c.Disabled), GracePeriod: renewalGrace})
	n.intake = intake.New(intake.Config{
		Store: c.Store, Logs: c.Logs, CountEvent: c.CountEvent, Now: c.Now, TableClock: n.tableClock, CachedDepth: n.cachedDepth, OwnerDepth: n.ownerDepth, NotifyOwner: n.notify, JobStatus: n.jobStatus,
		Relay: ownerRelay{n}, ReportUnsettled: n.reportUnsettled, OwnsJob: n.ownsJob, AccountLimit: n.accountLimit, Ownership: n.ownership, Admit: n.admit, Disabled: c.Disabled,
	})
	c.Mesh.Handle(methodNotification, n.handleNotification)
	c.Mesh.Handle(methodUnsettled, n.handleUnsettled)
	c.Mesh.Handle(methodDrain, n.handleDrain)
	c.Mesh.Handle(methodLoad, n.handleLoad)
	c.Mesh.Handle(methodState, n.handleState)
	c.Mesh.Handle(methodDepth, n.handleDepth)
	c.Mesh.Handle(methodSubmit, n.handleSubmit)
	c.Mesh.Handle(methodCancel, n.handleCancel)
	c.Mesh.Handle(methodProbe, n.handleProbe)
	c.Mesh.Handle(methodOffer, n.handleOffer)
	c.Mesh.Handle(methodWorkers, n.handleWorkers)
	return n
}

// MayBeStored reports whether a submission of this id that this entry knows of may still be stored.
func (n *Node) MayBeStored(id string) bool { return n.intake.MayBeStored(id) }

// Jobs returns the job operations that this entry offers to callers.
func (n *Node) Jobs() gauge.Jobs { return n.intake }

// Site returns the newest configuration, nil if none was read yet.
func (n *Node) Site() *gauge.Site { return n.site.Load() }

// ServingSite returns the configuration by which callers are served, nil before this entry has read
// which entries own the pools. Before that it would send each submission to the table itself and,
// if that got no answer, couldn't notify the pool's owner. The owner would then refuse the caller's
// retry, although the job may have been stored and run.
func (n *Node) ServingSite() *gauge.Site {
	if !n.leasesRead.Load() {
		return nil
	}
	return n.Site()
}

// Ready reports whether callers should be sent here. An entry that can't know whether the
// configuration has changed isn't ready, since others know better which queues exist.
func (n *Node) Ready() bool { return n.running.Load() && n.ServingSite() != nil && n.isConfigCurrent() }

// Run works until ctx ends and then gives up the pools that it owns. It returns when all its
// goroutines have ended.
func (n *Node) Run(ctx context.Context) {
	n.ctx.Store(&ctx)
	n.running.Store(true)
	n.mu.Lock()
	n.watchLeases() // hosts that start together find free leases
	n.mu.Unlock()
	n.group.Go(func() {
		n.followTable(ctx, watch.Config{
			Name: n.conf.Codec.OperatorTable(), FeedWait: n.configPollTimeout(), ConfirmEachWait: true, PollDelay: fixedDelay(0), OnTablePosition: n.recordOperatorRead, OnRows: n.applyOperatorRows,
		})
	})
	n.group.Go(func() {
		n.followTable(ctx, watch.Config{Name: gauge.TableEntries, Partition: gauge.PartitionEntries, RereadDelay: n.entryRereadDelay, FeedWait: entryPollTimeout, PollDelay: fixedDelay(entryPollDelay), OnRows: n.applyEntryRows})
	})
	n.group.Go(func() { n.followWorkers(ctx) })
	n.group.Go(func() {
		n.followLeases(ctx)
	})
	n.group.Go(func() { n.followHolders(ctx) })
	n.group.Go(func() { n.checkLeases(ctx) })
	n.group.Go(func() { n.manage(ctx) })
	if !n.conf.Disabled.Has(gauge.MechanismBalance) {
		n.group.Go(func() { n.rebalance(ctx) })
	}
	n.group.Go(func() { n.register(ctx) })
	n.group.Wait()
}

// Release hands over the pools that this entry owns, or gives up their leases, and takes no more. A
// successor has to write to the table, so while that is slow or unreachable each pool is kept, for
// at most patience.
func (n *Node) Release(ctx context.Context, patience time.Duration) {
	n.running.Store(false)
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
			for !n.conf.Disabled.Has(gauge.MechanismKeepWhileSlow) && !o.IsTableFast() && n.conf.Now() < until && ctx.Err() == nil {
				sleep(ctx, releaseCheckInterval)
			}
			n.handOver(ctx, o, "the entry stops")
		})
	}
	group.Wait()
}

// releaseCheckInterval is how often a stopping entry checks whether the table is fast again.
const releaseCheckInterval = 50 * time.Millisecond

// runContext returns the context of Run.
func (n *Node) runContext() context.Context { return *n.ctx.Load() }
