package slots

import "time"

// Lot is a number of slots of one worker, by class of work.
type Lot struct {
	Host  string `msgpack:"h"`
	Quick int    `msgpack:"q,omitempty"`
	Long  int    `msgpack:"l,omitempty"`
}

// Ask is what a holder sends an owner: what it still has, and how many more
// slots it wants. What it had and doesn't name is given back.
type Ask struct {
	Holder string `msgpack:"o"` // id and run of the entry
	Pool   string `msgpack:"p"`
	Seq    uint64 `msgpack:"s"` // grows with each ask of a holder
	Have   []Lot  `msgpack:"h,omitempty"`
	Quick  int    `msgpack:"q,omitempty"`
	Long   int    `msgpack:"l,omitempty"`
}

// Grant is the answer: all that the holder has from now on, for a term that
// the holder counts from before it asked.
type Grant struct {
	Pool string        `msgpack:"p"`
	Seq  uint64        `msgpack:"s"`
	Lots []Lot         `msgpack:"h,omitempty"`
	Term time.Duration `msgpack:"t"`
	Cap  int           `msgpack:"c,omitempty"` // others are short: give back what is over it; 0: none
	Not  bool          `msgpack:"n,omitempty"` // the asked entry is not the owner
}
