package slots

import "time"

// Lot is a number of slots of one worker, by class of request.
type Lot struct {
	Host  string `msgpack:"h"`
	Quick int    `msgpack:"q,omitempty"`
	Long  int    `msgpack:"l,omitempty"`
}

// Ask is what a holder sends to a pool's owner. A full one names all slots that the holder
// has and wants, and renews the lease. Those in between name only what changed: naming everything
// each time would account for most of the bytes sent.
type Ask struct {
	Holder string `msgpack:"o"` // ID and start ID of the entry
	Pool   string `msgpack:"p"`
	Seq    uint64 `msgpack:"s"` // increases with each request of a holder
	Full   bool   `msgpack:"f,omitempty"`
	Have   []Lot  `msgpack:"h,omitempty"` // full: all that it has; otherwise: given back
	Quick  int    `msgpack:"q,omitempty"` // wanted; full: in all; otherwise: more, or fewer if negative
	Long   int    `msgpack:"l,omitempty"`
}

// Grant answers a lease request, or is sent when slots come free for a holder that wants some.
type Grant struct {
	Pool string        `msgpack:"p"`
	Seq  uint64        `msgpack:"s"`           // of the newest request that the owner had seen
	Full bool          `msgpack:"f,omitempty"` // the lease is renewed, counted from before the request was sent
	Lots []Lot         `msgpack:"h,omitempty"` // additional slots
	Term time.Duration `msgpack:"t,omitempty"`
	Cap  int           `msgpack:"c,omitempty"` // most slots to use while other holders have too few; 0: no limit
	Free int           `msgpack:"r,omitempty"` // idle slots that the holder may keep
	Not  bool          `msgpack:"n,omitempty"` // rejected: not the owner, overtaken, or a full request must come first
}

// Push is a grant for a holder other than the one whose request is being answered.
type Push struct {
	Holder string
	Grant  Grant
}
