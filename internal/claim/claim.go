// Package claim makes a request run at most once. Before it is dispatched, its claim row is
// inserted if there is none yet, and the insertion is confirmed. The claim row stays: a second
// request with the same key gets the stored answer, or an error: the first one is running, or
// its outcome is unknown. It is never dispatched, since a paused holder of the claim may
// resume and dispatch.
package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/fill"
)

// Config sets up Claims.
type Config struct {
	Entry   string // ID/start ID of this entry
	Table   gauge.Table
	Objects gauge.Objects
	Timeout time.Duration // of one transaction; default 2 s
	Inline  int           // longest body that is kept in the row, in bytes; longer ones go to the object store; default 32 KiB
	Clock   gauge.Clock
}

const (
	defaultTimeout = 2 * time.Second
	defaultInline  = 32 << 10
	maxReadBacks   = 4
)

// Claims reads and writes claim rows.
type Claims struct {
	conf      Config
	committer *groupCommitter
}

// Row is a claim as it was read, with the version that a write must find.
type Row struct {
	Key     gauge.ClaimKey
	Claim   gauge.Claim
	version int64
}

// New returns Claims.
func New(c Config) *Claims {
	fill.Zero(&c.Timeout, defaultTimeout)
	fill.Zero(&c.Inline, defaultInline)
	return &Claims{conf: c, committer: &groupCommitter{table: c.Table, timeout: c.Timeout}}
}

// CommitCounts returns the number of transactions made and of the writes that they carried.
func (c *Claims) CommitCounts() (commits, writes int) { return c.committer.counts() }

func rowKey(k gauge.ClaimKey) string { return "claim/" + k.Day + "/" + k.Team + "/" + k.ID }

// asyncRowKey lists an asynchronous claim under the entry that runs it, so that what a dead entry
// leaves behind is found without reading all claims.
func asyncRowKey(entry string, k gauge.ClaimKey) string {
	return "async/" + entry + "/" + k.Day + "/" + k.Team + "/" + k.ID
}

// Insert inserts a claim. It returns the claim that is stored, and whether that is the new one. An
// error means that nothing may be dispatched. The caller may then answer "not run"; it must pass the
// returned row to Abandon if its claim has a token.
//
// If the insertion isn't answered, the row is read back, and its token shows which claim was
// inserted.
func (c *Claims) Insert(ctx context.Context, k gauge.ClaimKey, state gauge.ClaimState, hash uint64, accept *gauge.AcceptedRequest) (Row, bool, error) {
	want := gauge.Claim{Token: uuid.NewString(), Entry: c.conf.Entry, State: state, Hash: hash, Accept: accept}
	if err := c.storeLongBody(ctx, k, want.Accept); err != nil {
		return Row{}, false, err
	}
	puts, err := c.rowPuts(k, want)
	if err != nil {
		return Row{}, false, err
	}
	err = c.committer.commitWrite(ctx, gauge.Check{Key: rowKey(k)}, puts...)
	if err != nil && !gauge.IsKind(err, gauge.KindConflict) && !gauge.IsKind(err, gauge.KindUnknown) {
		return Row{}, false, err
	}
	if err == nil {
		return Row{Key: k, Claim: want}, true, nil
	}
	stored, readErr := c.readBack(ctx, k)
	if readErr != nil {
		return Row{Key: k, Claim: want}, false, gauge.Errorf(gauge.KindOutage, "claim not confirmed").WithCause(readErr)
	}
	if stored.version == 0 {
		return Row{Key: k, Claim: want}, false, gauge.Errorf(gauge.KindOutage, "claim not confirmed").WithCause(err)
	}
	return stored, stored.Claim.Token == want.Token, nil
}

func (c *Claims) rowPuts(k gauge.ClaimKey, cl gauge.Claim) ([]gauge.Put, error) {
	body, err := json.Marshal(cl)
	if err != nil {
		return nil, gauge.Errorf(gauge.KindInternal, "claim.puts").WithCause(err)
	}
	puts := []gauge.Put{{Key: rowKey(k), Value: body}}
	if cl.Accept == nil {
		return puts, nil
	}
	index := gauge.Put{Key: asyncRowKey(cl.Entry, k)}
	if cl.State != gauge.ClaimDone {
		index.Value = []byte("{}")
	}
	return append(puts, index), nil
}

// readBack reads the row after an unanswered write. It tries a few times: the table may be slow,
// and the result decides whether the request runs.
func (c *Claims) readBack(ctx context.Context, k gauge.ClaimKey) (Row, error) {
	return backoff.Retry(ctx, func() (Row, error) {
		return c.Read(ctx, k)
	}, backoff.WithMaxTries(maxReadBacks), backoff.WithBackOff(retryBackOff()))
}

func retryBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 20 * time.Millisecond
	b.MaxInterval = 5 * time.Second
	return b
}

// Read reads a claim. Without a row its state is empty.
func (c *Claims) Read(ctx context.Context, k gauge.ClaimKey) (Row, error) {
	out := Row{Key: k}
	row, err := c.conf.Table.Get(ctx, rowKey(k))
	if err != nil || row.Version == 0 {
		return out, err
	}
	out.version = row.Version
	if err := json.Unmarshal(row.Value, &out.Claim); err != nil {
		return out, gauge.Errorf(gauge.KindInternal, "claim row %s is malformed", row.Key).WithCause(err)
	}
	return out, nil
}

// Transition writes a claim's next state if the claim hasn't changed since it was read. False means
// that another entry has taken it over, and nothing may be dispatched here.
func (c *Claims) Transition(ctx context.Context, row Row, state gauge.ClaimState) (Row, bool, error) {
	if row.version == 0 {
		read, err := c.Read(ctx, row.Key)
		if err != nil {
			return row, false, err
		}
		if read.Claim.Token != row.Claim.Token {
			return read, false, nil
		}
		row = read
	}
	next := row.Claim
	previous := next.Entry
	next.Token, next.Entry, next.State = uuid.NewString(), c.conf.Entry, state
	puts, err := c.rowPuts(row.Key, next)
	if err != nil {
		return row, false, err
	}
	if previous != next.Entry {
		puts = append(puts, gauge.Put{Key: asyncRowKey(previous, row.Key)})
	}
	err = c.committer.commitWrite(ctx, gauge.Check{Key: rowKey(row.Key), Version: row.version}, puts...)
	if err != nil && !gauge.IsKind(err, gauge.KindConflict) && !gauge.IsKind(err, gauge.KindUnknown) {
		return row, false, err
	}
	read, readErr := c.readBack(ctx, row.Key)
	if readErr != nil {
		return row, false, gauge.Errorf(gauge.KindOutage, "claim not confirmed").WithCause(readErr)
	}
	return read, read.Claim.Token == next.Token, nil
}

// StoreOutcome stores the outcome of a claim. It retries during a table outage until ctx ends: the
// request has run, and a retry by the caller must get its answer. A claim that another entry took
// over meanwhile is left alone.
func (c *Claims) StoreOutcome(ctx context.Context, row Row, o gauge.Outcome) error {
	if err := c.storeLongOutcome(ctx, row.Key, &o); err != nil {
		return err
	}
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, c.tryStoreOutcome(ctx, row, o)
	}, backoff.WithBackOff(retryBackOff()), backoff.WithMaxElapsedTime(0))
	return err
}

func (c *Claims) tryStoreOutcome(ctx context.Context, row Row, o gauge.Outcome) error {
	read, err := c.Read(ctx, row.Key)
	if err != nil {
		return err
	}
	if read.version == 0 || read.Claim.Token != row.Claim.Token || read.Claim.State == gauge.ClaimDone {
		return nil
	}
	next := read.Claim
	next.State, next.Result = gauge.ClaimDone, &o
	puts, err := c.rowPuts(row.Key, next)
	if err != nil {
		return backoff.Permanent(err)
	}
	return c.committer.commitWrite(ctx, gauge.Check{Key: rowKey(row.Key), Version: read.version}, puts...)
}

// maxCommitDelay is how long an unanswered transaction may still take effect.
const maxCommitDelay = time.Minute

// Abandon deletes a claim whose insertion wasn't confirmed. The insertion may still take effect
// after the caller was told "not run"; left there, the row would make the caller's next try appear
// to be running for ever. Abandon polls for the row until it appears or can no longer appear.
func (c *Claims) Abandon(ctx context.Context, row Row) {
	ctx, cancel := context.WithTimeout(ctx, maxCommitDelay)
	defer cancel()
	_, _ = backoff.Retry(ctx, func() (struct{}, error) {
		read, err := c.Read(ctx, row.Key)
		if err != nil {
			return struct{}{}, err
		}
		if read.Claim.Token != row.Claim.Token {
			return struct{}{}, gauge.Errorf(gauge.KindNotFound, "claim row not found yet")
		}
		return struct{}{}, c.Delete(ctx, row)
	}, backoff.WithBackOff(retryBackOff()), backoff.WithMaxElapsedTime(maxCommitDelay))
}

// Delete removes a claim whose request was proved not to have run, so that the caller may retry
// under the same key.
func (c *Claims) Delete(ctx context.Context, row Row) error {
	read, err := c.readBack(ctx, row.Key)
	if err != nil {
		return err
	}
	if read.Claim.Token != row.Claim.Token {
		return nil
	}
	return c.committer.commitWrite(ctx, gauge.Check{Key: rowKey(row.Key), Version: read.version},
		gauge.Put{Key: rowKey(row.Key)}, gauge.Put{Key: asyncRowKey(row.Claim.Entry, row.Key)})
}
