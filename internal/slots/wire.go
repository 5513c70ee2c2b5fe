package slots

import "time"

// HostSlots is a number of slots of one worker, by class of request.
type HostSlots struct {
	Host  string `msgpack:"h"`
	Quick int    `msgpack:"q,omitempty"`
	Long  int    `msgpack:"l,omitempty"`
}

// LeaseRequest is what a holder sends to a pool's owner. A full one names all slots that the holder
// has and wants, and renews the lease. Those in between name only what changed: naming everything
// each time would account for most of the bytes sent.
type LeaseRequest struct {
	Holder      string      `msgpack:"o"` // ID and start ID of the entry
	Pool        string      `msgpack:"p"`
	Seq         uint64      `msgpack:"s"` // increases with each request of a holder
	Full        bool        `msgpack:"f,omitempty"`
	Slots       []HostSlots `msgpack:"h,omitempty"` // full: all that it has; otherwise: given back
	WantedQuick int         `msgpack:"q,omitempty"` // wanted; full: in all; otherwise: more, or fewer if negative
	WantedLong  int         `msgpack:"l,omitempty"`
}

// Grant answers a lease request, or is sent when slots become free for a holder that wants some.
type Grant struct {
	Pool          string        `msgpack:"p"`
	Seq           uint64        `msgpack:"s"`           // of the newest request that the owner had received
	Full          bool          `msgpack:"f,omitempty"` // the lease is renewed, counted from before the request was sent
	Slots         []HostSlots   `msgpack:"h,omitempty"` // additional slots
	LeaseDuration time.Duration `msgpack:"t,omitempty"`
	MaxUsed       int           `msgpack:"c,omitempty"` // maximum number of slots to use while other holders have too few; 0: no limit
	MaxIdle       int           `msgpack:"r,omitempty"` // idle slots that the holder may keep
	Rejected      bool          `msgpack:"n,omitempty"` // rejected: not the owner, overtaken, or a full request must come first
}

// Push is a grant for a holder other than the one whose request is being answered.
type Push struct {
	Holder string
	Grant  Grant
}
