package node

import (
	"context"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	gauge "sapphiregauge"
	"sapphiregauge/internal/waves"
)

// tableWaves keeps which machines of a wave have had their order.
const tableWaves = "waves"

// waveRow is what the table keeps of a wave.
type waveRow struct {
	Begun []string `msgpack:"b"`
	Done  bool     `msgpack:"d"`
	Since int64    `msgpack:"s,omitempty"` // when it was first seen, the table's clock in milliseconds; 0: not known
}

// takeIn tells the keeper of waves that it doesn't know.
func (f *fleet) takeIn(ctx context.Context) bool {
	f.node.mu.Lock()
	var fresh []gauge.UpkeepOrder
	for _, w := range f.node.waves {
		if !f.keeper.Knows(w.Wave) {
			fresh = append(fresh, w)
		}
	}
	f.node.mu.Unlock()
	for _, w := range fresh {
		row, err := f.readWave(ctx, w.Wave)
		if err != nil {
			f.node.conf.Logs.Info("wave not read", "wave", w.Wave, "error", err.Error())
			return false
		}
		past := waves.Past{Begun: row.Begun, Done: row.Done}
		if row.Since > 0 {
			past.Age = max(0, time.Duration(f.node.clock()-row.Since)*time.Millisecond)
		}
		f.keeper.Order(w, past, f.node.conf.Now())
		f.unsaved[w.Wave] = f.unsaved[w.Wave] || row.Since == 0 && !row.Done
		f.node.conf.Logs.Info("wave taken in", "wave", w.Wave, "machines", len(w.Machines), "begun", len(row.Begun), "done", row.Done)
	}
	return true
}

func waveKey(number int64) gauge.RowKey {
	return gauge.RowKey{Table: tableWaves, Key: strconv.FormatInt(number, 10)}
}

func (f *fleet) readWave(ctx context.Context, number int64) (waveRow, error) {
	var row waveRow
	key := waveKey(number)
	rows, _, err := f.node.conf.Store.Range(ctx, key.Table, key.Part, key.Key, key.Key+"\x00")
	if err != nil || len(rows) == 0 {
		return row, err
	}
	return row, msgpack.Unmarshal(rows[0].Value, &row)
}

// ask has workers emptied by their pools' owners.
func (f *fleet) ask(ctx context.Context, asks []waves.Ask) {
	for _, a := range asks {
		f.async.do("empty "+a.Machine, func() func() {
			empty, err := f.node.empty(ctx, emptyCall{Pool: a.Pool, Worker: a.Worker, Force: a.Force})
			if err != nil {
				f.node.conf.Logs.Info("machine not emptied", "machine", a.Machine, "pool", a.Pool, "error", err.Error())
			}
			return func() { f.keeper.Answered(a, empty && err == nil) }
		})
	}
}

// begin orders upkeeps. Each is asked for only while the lease surely lasts.
func (f *fleet) begin(ctx context.Context, begins []waves.Begin) {
	duty := gauge.Duty{Holder: f.node.conf.Name, Fence: f.held.fence}
	for _, b := range begins {
		f.async.do("upkeep "+b.Machine, func() func() {
			var err error = gauge.Fail(gauge.KindOutage, "the lease is over")
			if f.mayOrder(b.Machine) {
				err = f.node.conf.Machines.Upkeep(ctx, duty, b.Machine, b.Wave)
			}
			return func() { f.begun(b, err) }
		})
	}
}

// begun takes in the outcome of an order, and notes it.
func (f *fleet) begun(b waves.Begin, err error) {
	if gauge.Is(err, gauge.KindFenced) {
		f.held.lease.Lose()
		f.node.conf.Logs.Info("lease lost", "pool", "fleet", "fence", f.held.fence, "reason", "a machine has seen a newer fencing token")
		return
	}
	f.keeper.Begun(b, err, f.node.conf.Now())
	f.unsaved[b.Wave] = true
}

// save writes how far a wave is, for the operator and for the next holder.
func (f *fleet) save(ctx context.Context, number int64, done bool) bool {
	since := f.node.clock() - f.keeper.Age(number, f.node.conf.Now()).Milliseconds()
	value, err := msgpack.Marshal(&waveRow{Begun: f.keeper.Lists(number), Done: done, Since: since})
	if err != nil {
		f.node.conf.Logs.Error(err, "wave not saved", "wave", number)
		return false
	}
	txn := gauge.PartTxn{Writes: []gauge.RowWrite{{RowKey: waveKey(number), Value: value}}}
	if done || !f.states[number] {
		status, err := f.node.conf.Words.WaveStatus(number, done)
		if err != nil {
			f.node.conf.Logs.Error(err, "wave not saved", "wave", number)
			return false
		}
		txn.Writes = append(txn.Writes, status)
	}
	ok := f.commit(ctx, txn)
	f.states[number] = f.states[number] || ok
	return ok
}

func (f *fleet) complete(ctx context.Context, number int64) {
	if f.save(ctx, number, true) {
		f.keeper.Completed(number)
	}
}
