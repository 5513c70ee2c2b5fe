package sapphiregauge

import (
	"context"
	"time"
)

// Member is one entry process, as its row in the table and its heartbeats
// tell. Run differs between two starts under the same id.
type Member struct {
	ID   string `json:"id" msgpack:"i"`
	Run  string `json:"run" msgpack:"r"`
	Peer string `json:"peer" msgpack:"p"` // ip:port for other entries
	HTTP string `json:"http" msgpack:"h"` // ip:port for callers and operators
	Zone string `json:"zone" msgpack:"z"`
	Beat int64  `json:"beat" msgpack:"-"` // grows with each write of the row
}

// Peers calls other entries. The answer is decoded into resp; an error of kind
// outage means that the peer surely did not get the call.
type Peers interface {
	Call(ctx context.Context, addr, method string, req, resp any) error
}

// Place is one slot of one worker, held by one request.
type Place struct {
	Pool   string
	Class  Class
	Target Target
}

// Slots hands out places on the workers of one pool. It varies: leased slots
// in production, uncoordinated ones to measure against. It is not safe for
// concurrent use; the caller has a lock per pool.
type Slots interface {
	// Take returns a place at once, or false. It avoids the hosts and racks of
	// earlier attempts and the hosts that skip names, as far as it can.
	Take(now time.Time, class Class, earlier Attempts, skip func(host string) bool) (*Place, bool)
	// Done gives a place back.
	Done(p *Place)
	// Turn makes a quick place count as long, once its request has outlived
	// the bound of quick work.
	Turn(p *Place)
}
