package owner

import (
	"context"
	"time"

	gauge "sapphiregauge"
)

// load reads the pool's open jobs, once the lease is held: whatever an earlier
// owner has written is in the table by now, and it can write no more. False: the
// lease was lost meanwhile.
func (o *Owner) load() bool {
	began := o.conf.Now()
	for {
		n, err := o.scan(true)
		if err == nil {
			o.mu.Lock()
			o.loaded = true
			o.mu.Unlock()
			o.conf.Logs.Info("pool loaded", "pool", o.conf.Pool, "fence", o.conf.Fence, "jobs", n, "took", o.conf.Now()-began)
			return true
		}
		if o.ctx.Err() != nil {
			return false
		}
		if o.conf.Now() >= o.conf.Lease.Until() {
			o.lose("the jobs could not be read in time")
			return false
		}
		o.conf.Logs.Info("pool not loaded", "pool", o.conf.Pool, "error", err.Error())
		o.rest(nil, writeAgain)
	}
}

// scanLoop looks for jobs and cancels of which the message was lost.
func (o *Owner) scanLoop() {
	for o.ctx.Err() == nil {
		o.rest(nil, scanEvery)
		if o.ctx.Err() != nil {
			return
		}
		n, err := o.scan(false)
		if err != nil {
			o.conf.Logs.Info("scan failed", "pool", o.conf.Pool, "error", err.Error())
			continue
		}
		if n > 0 {
			o.conf.Logs.Info("jobs found by scan", "pool", o.conf.Pool, "jobs", n)
		}
		o.act(nil)
	}
}

// scan reads the marks of open jobs and adopts those that are unknown.
func (o *Owner) scan(inherited bool) (int, error) {
	ctx, cancel := context.WithTimeout(o.ctx, scanWait)
	defer cancel()
	parts, err := o.queues(ctx, inherited)
	if err != nil {
		return 0, err
	}
	total := 0
	for _, queue := range parts {
		marks, _, err := o.conf.Store.Range(ctx, gauge.TableOpen, queue, "", "")
		if err != nil {
			return total, err
		}
		n, err := o.adoptMarked(ctx, queue, marks, inherited)
		total += n
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// queues lists those that may have jobs of this pool. Each some time all are
// looked through, as a queue may have been routed here and away again.
func (o *Owner) queues(ctx context.Context, all bool) ([]string, error) {
	o.scans++
	if all || o.scans%scansOfAll == 0 {
		return o.conf.Store.Parts(ctx, gauge.TableOpen)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for _, q := range o.site.Queues {
		if q.Pool == o.conf.Pool {
			names = append(names, q.Name)
		}
	}
	return names, nil
}

func (o *Owner) adoptMarked(ctx context.Context, queue string, marks []gauge.PartRow, inherited bool) (int, error) {
	var unknown []string
	o.mu.Lock()
	for _, m := range marks {
		mark := gauge.DecodeMark(m.Value)
		switch {
		case mark.Pool != o.conf.Pool:
		case !o.core.Knows(m.Key):
			unknown = append(unknown, m.Key)
		case mark.Cancelled:
			o.core.Cancel(m.Key, 0)
		}
	}
	o.mu.Unlock()
	if len(unknown) == 0 {
		return 0, nil
	}
	from, to := unknown[0], unknown[len(unknown)-1]+"\x00"
	rows, _, err := o.conf.Store.Range(ctx, gauge.TableJobs, queue, from, to)
	if err != nil {
		return 0, err
	}
	specs, _, err := o.conf.Store.Range(ctx, gauge.TableSpecs, queue, from, to)
	if err != nil {
		return 0, err
	}
	return o.adoptRows(queue, rows, specs, inherited), nil
}

// adoptRows takes in the jobs of this pool that are still open.
func (o *Owner) adoptRows(queue string, rows, specs []gauge.PartRow, inherited bool) int {
	bySpec := make(map[string][]byte, len(specs))
	for _, s := range specs {
		bySpec[s.Key] = s.Value
	}
	now := o.conf.Now()
	n := 0
	for _, r := range rows {
		body, open := bySpec[r.Key]
		if !open {
			continue
		}
		if o.adoptRow(queue, r, body, inherited, now) {
			n++
		}
	}
	return n
}

func (o *Owner) adoptRow(queue string, r gauge.PartRow, body []byte, inherited bool, now time.Duration) bool {
	row, err := gauge.DecodeJobRow(r.Value)
	if err != nil {
		o.conf.Logs.Error(err, "job row not read", "job", r.Key, "queue", queue)
		return false
	}
	if row.Pool != o.conf.Pool {
		return false
	}
	spec, err := gauge.DecodeJobSpec(body)
	if err != nil {
		o.conf.Logs.Error(err, "job spec not read", "job", r.Key, "queue", queue)
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !inherited && !o.mayAdopt() {
		return false
	}
	if o.core.Knows(r.Key) {
		return false
	}
	o.core.Adopt(r.Key, queue, spec, row, r.Version, o.arrival(row, now), now, inherited)
	return true
}
