package sapphiregauge

import (
	"context"
	"time"
)

// Member is one entry process, according to its row in the table and its heartbeats. StartID
// differs between two starts under the same ID.
type Member struct {
	ID         string `json:"id" msgpack:"i"`
	StartID    string `json:"run" msgpack:"r"`
	Peer       string `json:"peer" msgpack:"p"` // ip:port for other entries
	HTTP       string `json:"http" msgpack:"h"` // ip:port for callers and operators
	Zone       string `json:"zone" msgpack:"z"`
	WriteCount int64  `json:"beat" msgpack:"-"` // grows with each write of the row
}

// Peers calls other entries. The answer is decoded into resp; an error of kind outage means that
// the peer certainly did not get the call.
type Peers interface {
	Call(ctx context.Context, addr, method string, req, resp any) error
}

// Slot is one slot of one worker, held by one request.
type Slot struct {
	Pool   string
	Class  Class
	Target Target
}

// Slots hands out the slots of the workers of one pool. There are two implementations: leased slots
// for production, and uncoordinated ones as a baseline for measurements. It is not safe for
// concurrent use; the caller holds a lock per pool.
type Slots interface {
	// Acquire returns a slot that is free now, or false. As far as possible it avoids the hosts and
	// racks of earlier attempts and the hosts for which skip returns true.
	Acquire(now time.Time, class Class, earlier Attempts, skip func(host string) bool) (*Slot, bool)
	// Release releases a slot.
	Release(p *Slot)
	// CountAsLong makes a quick slot count as long, once its request has run longer than quick
	// requests may.
	CountAsLong(p *Slot)
}
