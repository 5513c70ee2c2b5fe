package limit

import (
	"maps"
	"slices"
	"time"

	gauge "sapphiregauge"
)

// Update returns the rows to write, given what each account uses. It expects Written, Conflicted
// or Unanswered before the next call.
func (p *Parts) Update(uses map[string]Use, now time.Duration) []Write {
	p.wanting = false
	if p.replaced || !p.read {
		return nil
	}
	p.noteGone(now)
	var writes []Write
	for _, name := range slices.Sorted(maps.Keys(p.accounts)) {
		a := p.accounts[name]
		p.logHeldBack(name, a, uses[name])
		next, ok := p.next(a, uses[name], now)
		a.needed = gauge.Resources{}
		if !ok {
			continue
		}
		row := gauge.LimitRow{Parts: maps.Clone(a.row.Parts), Limit: a.effectiveLimit(), Version: max(a.row.Version, a.configVersion)}
		if row.Parts == nil {
			row.Parts = make(map[string]gauge.LimitPart)
		}
		maps.DeleteFunc(row.Parts, func(pool string, _ gauge.LimitPart) bool { return p.isGone(pool) })
		row.Parts[p.conf.Pool] = gauge.LimitPart{Amount: next, Fence: p.conf.Fence}
		a.sent, a.unsent = &next, a.usable
		a.usable = smaller(a.usable, next)
		p.conf.Logs.Info("limit part", "pool", p.conf.Pool, "account", name, "from", a.part(p.conf.Pool).MilliCPU, "to", next.MilliCPU,
			"used", p.used(a, uses[name]).MilliCPU, "others", p.others(a).MilliCPU, "limit", a.limit.MilliCPU)
		writes = append(writes, Write{Account: name, Version: a.version, Row: row})
	}
	return writes
}

// logHeldBack logs when starts of an account begin to be held back, and when that is over.
func (p *Parts) logHeldBack(name string, a *account, use Use) {
	if held := a.heldBack > 0; held != a.held {
		a.held = held
		p.conf.Logs.Info("account held back", "pool", p.conf.Pool, "account", name, "held", held, "starts", a.heldBack, "used", p.used(a, use).MilliCPU, "waiting", use.Waiting.MilliCPU,
			"part", a.usable.MilliCPU, "others", p.others(a).MilliCPU, "limit", a.limit.MilliCPU, "settled", a.settled)
	}
	a.heldBack = 0
}

func (a *account) part(pool string) gauge.Resources { return a.row.Parts[pool].Amount }

// next returns the part that the pool should have, false if that is the one it has.
func (p *Parts) next(a *account, use Use, now time.Duration) (gauge.Resources, bool) {
	part, used, bound := a.part(p.conf.Pool), p.used(a, use), a.effectiveLimit()
	step := larger(scaled(used, stepPercent, percent), scaled(bound, 1, reservedShare*p.pools))
	want := larger(used.Plus(smaller(use.Waiting, step)), a.needed)
	if want != (gauge.Resources{}) || a.usedAt == 0 {
		a.usedAt = now
	}
	target := scaled(want, headroomPercent, percent)
	if now-a.usedAt < idleSpan {
		target = larger(target, scaled(bound, 1, reservedShare*p.pools))
	}
	available := larger(bound.Minus(p.others(a)), gauge.Resources{})
	keep := larger(smaller(target, available), used)
	switch {
	case !a.settled:
		// Nobody has a part here yet, or a previous owner has written it and may still be writing.
		return smaller(keep, larger(part, available)), true
	case !fits(bound, part, available):
		keep = smaller(keep, part) // the limit was lowered
		return keep, keep != part || !a.isDivided()
	case !fits(bound, want, part):
		grown := larger(part, smaller(target, available))
		p.short = p.short || !fits(bound, want, grown)
		return grown, grown != part || a.uncertain || !a.isDivided()
	case a.uncertain, !a.isDivided():
		return part, true
	case fits(bound, scaled(part, lowPercent, percent), target):
		a.lowSince = 0
		return part, false
	case a.lowSince == 0:
		a.lowSince = now
	}
	keep = smaller(keep, part)
	return keep, now-a.lowSince >= lowSpan && keep != part
}

// Written records that writes are in the table, as of a version.
func (p *Parts) Written(writes []Write, version int64) {
	for _, w := range writes {
		a := p.accounts[w.Account]
		if a == nil || a.sent == nil {
			continue
		}
		a.usable, a.settled, a.uncertain, a.sent, a.lowSince = *a.sent, true, false, nil, 0
		a.row, a.version = w.Row, version
	}
}

// Conflicted takes back writes that were refused, and applies the present rows, of which some had
// changed.
func (p *Parts) Conflicted(writes []Write, rows map[string]gauge.LimitRow, versions map[string]int64) {
	for _, w := range writes {
		if a := p.accounts[w.Account]; a != nil && a.sent != nil {
			a.usable, a.sent = a.unsent, nil
		}
	}
	for name, row := range rows {
		if a := p.accounts[name]; a != nil {
			p.apply(a, row, versions[name])
		}
	}
}

// Unanswered records that it isn't known whether writes took effect, or will.
func (p *Parts) Unanswered(writes []Write) {
	p.read = false
	for _, w := range writes {
		if a := p.accounts[w.Account]; a != nil {
			a.uncertain, a.sent = true, nil
		}
	}
}
