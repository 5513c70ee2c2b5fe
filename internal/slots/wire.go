package slots

import "time"

// Lot is a number of slots of one worker, by class of work.
type Lot struct {
	Host  string `msgpack:"h"`
	Quick int    `msgpack:"q,omitempty"`
	Long  int    `msgpack:"l,omitempty"`
}

// Ask is what a holder sends an owner. A full one names all that the holder
// has and waits for, and renews the lease; the ones between tell only what has
// changed, since a full one in each of them would cost most of the bytes.
type Ask struct {
	Holder string `msgpack:"o"` // id and run of the entry
	Pool   string `msgpack:"p"`
	Seq    uint64 `msgpack:"s"` // grows with each ask of a holder
	Full   bool   `msgpack:"f,omitempty"`
	Have   []Lot  `msgpack:"h,omitempty"` // full: everything; else: given back
	Quick  int    `msgpack:"q,omitempty"` // wanted; full: in all; else: more (or fewer)
	Long   int    `msgpack:"l,omitempty"`
}

// Grant is an answer to an ask, or sent when slots have come free for a holder
// that wants some.
type Grant struct {
	Pool string        `msgpack:"p"`
	Seq  uint64        `msgpack:"s"`           // of the newest ask that the owner had seen
	Full bool          `msgpack:"f,omitempty"` // the lease is renewed, from before the ask
	Lots []Lot         `msgpack:"h,omitempty"` // further slots
	Term time.Duration `msgpack:"t,omitempty"`
	Cap  int           `msgpack:"c,omitempty"` // others are short: use no more than this; 0: no bound
	Free int           `msgpack:"r,omitempty"` // idle slots that the holder may keep in reserve
	Not  bool          `msgpack:"n,omitempty"` // not the owner, or a full ask has to come first
}

// Push is a grant for a holder that did not just ask.
type Push struct {
	Holder string
	Grant  Grant
}
