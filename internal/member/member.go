// Package member maintains this entry's membership: it writes the entry's row, reads the rows of
// the others and exchanges heartbeats with them. Package peers decides what follows from them.
package member

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	gauge "sapphiregauge"
	"sapphiregauge/internal/fill"
	"sapphiregauge/internal/frame"
	"sapphiregauge/internal/peers"
	"sapphiregauge/internal/ticks"
)

// Config holds the settings and dependencies of a Keeper.
type Config struct {
	Self     gauge.Member
	Table    gauge.Table
	Peers    gauge.Peers
	Clock    gauge.Clock
	Logs     logr.Logger
	Beat     time.Duration // interval between heartbeats; default 1 s
	Row      time.Duration // interval between writes of the member row; default 5 s
	Seeds    []string      // addresses of peers to contact while no other entry is known
	Revision func() int64
	// Newer is called when a peer has a newer revision in force.
	Newer func(revision int64)
}

// Method is the name of the heartbeat method on the mesh.
const Method = "beat"

const (
	rowPrefix                = "member/"
	defaultHeartbeatInterval = time.Second
	defaultRowInterval       = 5 * time.Second
)

// View is the membership as this entry's heartbeats and the member rows show it at one moment.
type View struct {
	Live  []gauge.Member
	Hash  uint64 // of the live set
	Same  int    // number of entries with the same view, including this one
	Known int    // number of known entries, including this one
}

// Keeper maintains the membership.
type Keeper struct {
	conf Config

	mu      sync.Mutex
	peerSet *peers.Set
	self    gauge.Member
}

// New returns a Keeper that knows only this entry.
func New(c Config) *Keeper {
	fill.Zero(&c.Beat, defaultHeartbeatInterval)
	fill.Zero(&c.Row, defaultRowInterval)
	silence := 3 * c.Beat
	return &Keeper{conf: c, self: c.Self, peerSet: peers.New(peers.Config{Self: c.Self, Silence: silence, Term: 3 * c.Row})}
}

// Run writes and reads rows and sends heartbeats until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { ticks.Every(ctx, k.conf.Row, k.syncRows) })
	group.Go(func() { ticks.Every(ctx, k.conf.Beat, k.exchangeHeartbeats) })
}

// Join writes this entry's row and reads the others once, so that the entry knows its peers before
// it serves requests.
func (k *Keeper) Join(ctx context.Context) { k.syncRows(ctx) }

// Leave deletes this entry's row, so that the others needn't wait until it expires.
func (k *Keeper) Leave(ctx context.Context) error {
	return k.conf.Table.Commit(ctx, gauge.Txn{Puts: []gauge.Put{{Key: rowPrefix + k.self.ID}}})
}

func (k *Keeper) syncRows(ctx context.Context) {
	if err := k.writeRow(ctx); err != nil {
		k.conf.Logs.V(1).Info("own member row not written", "reason", err.Error())
	}
	rows, err := k.conf.Table.Scan(ctx, rowPrefix)
	if err != nil {
		k.conf.Logs.V(1).Info("member rows not read", "reason", err.Error())
		return
	}
	members, versions := decodeRows(rows)
	k.mu.Lock()
	stale := k.peerSet.UpdateRows(k.conf.Clock(), members)
	k.mu.Unlock()
	for _, m := range stale {
		k.deleteRow(ctx, m, versions[m.ID])
	}
}

func (k *Keeper) writeRow(ctx context.Context) error {
	k.self.WriteCount++
	body, err := json.Marshal(k.self)
	if err != nil {
		return gauge.Errorf(gauge.KindInternal, "encoding the member row").WithCause(err)
	}
	return k.conf.Table.Commit(ctx, gauge.Txn{Puts: []gauge.Put{{Key: rowPrefix + k.self.ID, Value: body}}})
}

// deleteRow deletes the row of an entry that is gone, unless the entry has written it since.
func (k *Keeper) deleteRow(ctx context.Context, m gauge.Member, version int64) {
	key := rowPrefix + m.ID
	err := k.conf.Table.Commit(ctx, gauge.Txn{
		Checks: []gauge.Check{{Key: key, Version: version}},
		Puts:   []gauge.Put{{Key: key}},
	})
	if err == nil {
		k.conf.Logs.Info("entry is gone", "entry", m.ID, "run", m.StartID)
	}
}

// decodeRows skips malformed rows, because one of them must not make all other members unknown.
func decodeRows(rows []gauge.Row) ([]gauge.Member, map[string]int64) {
	var members []gauge.Member
	versions := make(map[string]int64, len(rows))
	for _, r := range rows {
		var m gauge.Member
		if json.Unmarshal(r.Value, &m) != nil || m.ID == "" {
			continue
		}
		members = append(members, m)
		versions[m.ID] = r.Version
	}
	return members, versions
}

func (k *Keeper) exchangeHeartbeats(ctx context.Context) {
	now := k.conf.Clock()
	k.mu.Lock()
	k.peerSet.Refresh(now)
	outgoing := make(map[string]peers.Heartbeat)
	for _, m := range k.peerSet.Neighbours(now) {
		outgoing[m.Peer] = k.peerSet.NewHeartbeat(now, k.conf.Revision(), m.Zone)
	}
	if len(outgoing) == 0 {
		// During a table outage, seeds are the only way for a new entry to learn of the others.
		for _, addr := range k.conf.Seeds {
			outgoing[addr] = k.peerSet.NewHeartbeat(now, k.conf.Revision(), "")
		}
	}
	delete(outgoing, k.self.Peer)
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 2*k.conf.Beat)
	defer cancel()
	var group conc.WaitGroup
	for addr, beat := range outgoing {
		group.Go(func() {
			var answer peers.Heartbeat
			if err := k.conf.Peers.Call(ctx, addr, Method, &beat, &answer); err == nil {
				k.applyHeartbeat(answer)
			}
		})
	}
	group.Wait()
}

// Handle answers a peer's heartbeat with this entry's own.
func (k *Keeper) Handle(_ context.Context, body []byte) (any, error) {
	var b peers.Heartbeat
	if err := frame.Decode(body, &b); err != nil {
		return nil, err
	}
	k.applyHeartbeat(b)
	k.mu.Lock()
	defer k.mu.Unlock()
	answer := k.peerSet.NewHeartbeat(k.conf.Clock(), k.conf.Revision(), b.From.Zone)
	return &answer, nil
}

func (k *Keeper) applyHeartbeat(b peers.Heartbeat) {
	k.mu.Lock()
	k.peerSet.Receive(k.conf.Clock(), b)
	k.mu.Unlock()
	if k.conf.Newer != nil && b.Revision > k.conf.Revision() {
		k.conf.Newer(b.Revision)
	}
}

// SendHeartbeats sends heartbeats now, which tell the peers of a new revision.
func (k *Keeper) SendHeartbeats(ctx context.Context) { k.exchangeHeartbeats(ctx) }

// View returns the current view.
func (k *Keeper) View() View {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.conf.Clock()
	hash, live := k.peerSet.Refresh(now)
	same, known := k.peerSet.Share(now)
	return View{Live: live, Hash: hash, Same: same, Known: known}
}

// HasRecentContact reports whether anything was received lately from the table or a peer.
func (k *Keeper) HasRecentContact() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.peerSet.IsConnected(k.conf.Clock())
}

// IsConfirmed reports whether every entry has a revision in force or is gone.
func (k *Keeper) IsConfirmed(revision int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.conf.Revision() >= revision && k.peerSet.IsConfirmed(revision)
}

// Revisions returns the revision in force at each live entry, by the entry's ID.
func (k *Keeper) Revisions() map[string]int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	revisions := k.peerSet.Revisions(k.conf.Clock())
	revisions[k.self.ID] = k.conf.Revision()
	return revisions
}
