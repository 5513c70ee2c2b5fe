package node

import (
	"time"

	gauge "sapphiregauge"
)

// relayAnswer is the outcome of a call. Errors in it are the owner's own statement; an error of the
// call itself says nothing about the outcome.
type relayAnswer struct {
	Kind    gauge.Kind `msgpack:"k"` // empty: done
	Reason  string     `msgpack:"r"`
	MovedTo string     `msgpack:"m"` // address of the owner if this entry isn't the owner
	// RetryMS is after how many milliseconds the caller may try again; 0: the default of the kind.
	// Older entries neither send nor read it.
	RetryMS int64 `msgpack:"t,omitempty"`
}

// err returns the error that the owner at an address has answered, nil if the call was done.
func (a relayAnswer) err(addr string) error {
	if a.Kind == "" {
		return nil
	}
	retryAfter := time.Duration(a.RetryMS) * time.Millisecond
	return gauge.Errorf(a.Kind, "owner at %s: %s", addr, a.Reason).WithRetryAfter(retryAfter)
}

// answerOf returns the answer to a call with the given outcome.
func answerOf(err error) relayAnswer {
	if err == nil {
		return relayAnswer{}
	}
	e := gauge.AsError(err)
	return relayAnswer{Kind: e.Kind, Reason: err.Error(), RetryMS: e.RetryAfter.Milliseconds()}
}
