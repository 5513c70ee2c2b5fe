package sapphiregauge

import (
	"time"

	"github.com/google/uuid"
)

// ClaimState is the progress of a claimed request.
type ClaimState string

// The claim states.
const (
	ClaimAccepted ClaimState = "accepted" // promised to be run; certainly not dispatched yet
	ClaimRunning  ClaimState = "running"  // may have been dispatched
	ClaimDone     ClaimState = "done"     // the answer or the error is final
)

// ClaimKey identifies a claim by the team, the day of the idempotency key and the key itself.
type ClaimKey struct {
	Team string
	ID   string // a UUID of version 7
	Day  string
}

// Claim is the row that ensures that a request runs at most once.
type Claim struct {
	// Token identifies the attempt to claim, so that a lost answer can be read back.
	Token  string           `json:"token"`
	Entry  string           `json:"entry"` // ID/start ID of the entry that runs the request
	State  ClaimState       `json:"state"`
	Hash   uint64           `json:"hash"`             // hash of the request, to detect a reused key
	Accept *AcceptedRequest `json:"accept,omitempty"` // the asynchronous request, to run it after a takeover
	Result *Outcome         `json:"result,omitempty"`
}

// AcceptedRequest is an asynchronous request as it was accepted.
type AcceptedRequest struct {
	Service    string        `json:"service"`
	Path       string        `json:"path"`
	Type       string        `json:"type"`
	Class      Class         `json:"class"`
	Repeatable bool          `json:"repeatable"`
	Timeout    time.Duration `json:"timeout"`
	Body       []byte        `json:"body,omitempty"`
	Object     string        `json:"object,omitempty"` // object that holds the body, if it is large
}

// Outcome is the final answer of a claimed request.
type Outcome struct {
	Kind   Kind   `json:"kind,omitempty"` // empty: the request has an answer
	Reason string `json:"reason,omitempty"`
	Ran    Ran    `json:"ran,omitempty"`
	Status int    `json:"status,omitempty"`
	Type   string `json:"type,omitempty"`
	Host   string `json:"host,omitempty"`
	Body   []byte `json:"body,omitempty"`
	Object string `json:"object,omitempty"`
}

// Times within which an idempotency key is accepted: how long a claim is kept, and how far a key's
// time may be in the future.
const (
	ClaimRetention = 7 * 24 * time.Hour
	maxClockSkew   = time.Hour
)

const dayLayout = "20060102"

// ParseIdempotencyKey checks an idempotency key and returns where its claim is stored. The time in
// the key decides the day under which the claim is stored and whether the key is accepted at all: a
// key older than the retention of claims is refused, so that a duplicate that comes after its claim
// was deleted can't run a second time. Errors are of kind invalid.
func ParseIdempotencyKey(now time.Time, team, id string) (ClaimKey, error) {
	var fs Faults
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		fs.Add("Idempotency-Key", "%q is no UUID of version 7, which a request that is asynchronous or not repeatable needs", id)
		return ClaimKey{}, fs.Err()
	}
	at := time.Unix(u.Time().UnixTime()).UTC()
	if now.Sub(at) > ClaimRetention {
		fs.Add("Idempotency-Key", "was made at %s, older than the %s that answers are kept", at.Format(time.RFC3339), ClaimRetention)
	}
	if at.Sub(now) > maxClockSkew {
		fs.Add("Idempotency-Key", "was made at %s, which is still to come", at.Format(time.RFC3339))
	}
	return ClaimKey{Team: team, ID: u.String(), Day: at.Format(dayLayout)}, fs.Err()
}

// ExpiredClaimDays lists the given number of days whose claims can be deleted, beginning with the
// latest; keys of these days are no longer accepted.
func ExpiredClaimDays(now time.Time, days int) []string {
	out := make([]string, days)
	for i := range out {
		out[i] = now.Add(-ClaimRetention).UTC().AddDate(0, 0, -2-i).Format(dayLayout)
	}
	return out
}

// Err returns the stored error, including what was proved at the time about whether the request
// ran; nil if there is an answer.
func (o *Outcome) Err() error {
	if o.Kind == "" {
		return nil
	}
	return &Error{Kind: o.Kind, Reason: o.Reason, ran: o.Ran}
}
