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
	Holder string      `msgpack:"o"` // ID and start ID of the entry
	Pool   string      `msgpack:"p"`
	Seq    uint64      `msgpack:"s"` // increases with each request of a holder
	Full   bool        `msgpack:"f,omitempty"`
	Slots  []HostSlots `msgpack:"h,omitempty"` // full: all that it has; otherwise: given back
	// WantedQuick and WantedLong are numbers of slots wanted. Full: in all; otherwise: the change since
	// the request before, negative if fewer are wanted.
	WantedQuick int `msgpack:"q,omitempty"`
	WantedLong  int `msgpack:"l,omitempty"`
}

// Grant answers a lease request, or is sent when slots become free for a holder that wants some.
type Grant struct {
	Pool string `msgpack:"p"`
	Seq  uint64 `msgpack:"s"` // of the newest request that the owner had received
	// Full: the lease is renewed; its duration counts from before the request was sent.
	Full          bool          `msgpack:"f,omitempty"`
	Slots         []HostSlots   `msgpack:"h,omitempty"` // additional slots
	LeaseDuration time.Duration `msgpack:"t,omitempty"`
	// MaxUsed is the maximum number of slots to use while other holders have too few; 0: no limit.
	MaxUsed int `msgpack:"c,omitempty"`
	MaxIdle int `msgpack:"r,omitempty"` // idle slots that the holder may keep
	// Rejected: the receiver isn't the owner, the request was overtaken by a later one, or a full
	// request must come first.
	Rejected bool `msgpack:"n,omitempty"`
}

// Push is a grant for a holder other than the one whose request is being answered.
type Push struct {
	Holder string
	Grant  Grant
}
