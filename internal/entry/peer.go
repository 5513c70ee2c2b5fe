package entry

import (
	"context"

	gauge "sapphiregauge"
	"sapphiregauge/internal/peers"
)

// stateMethod returns a peer's state in force, for an entry that starts during a table outage.
const stateMethod = "state"

type stateReq struct {
	Above int64 `msgpack:"a"` // nothing is sent unless the peer's revision is higher
}

type stateResp struct {
	Revision int64          `msgpack:"r"`
	Records  []gauge.Record `msgpack:"c,omitempty"`
	Hosts    []gauge.Host   `msgpack:"h,omitempty"`
}

func (e *Entry) handleState(_ context.Context, body []byte) (any, error) {
	var req stateReq
	if err := decodeBody(body, &req); err != nil {
		return nil, err
	}
	s := e.follow.State()
	resp := &stateResp{Revision: s.Revision}
	if s.Revision <= req.Above {
		return resp, nil
	}
	resp.Hosts = s.Hosts()
	for _, r := range s.Records {
		resp.Records = append(resp.Records, r)
	}
	return resp, nil
}

// fetchFromPeers returns the newest state that any live entry, including this one, has in force. It
// returns an error of KindOutage, and this entry's own state, if no other entry is reachable.
func (e *Entry) fetchFromPeers(ctx context.Context) (gauge.State, error) {
	own := e.follow.State()
	revisions := e.member.Revisions()
	if len(revisions) < 2 {
		return own, gauge.Errorf(gauge.KindOutage, "neither the table nor a peer is reachable")
	}
	var newest gauge.Member
	newestRevision := own.Revision
	for _, m := range e.member.View().Live {
		if revisions[m.ID] > newestRevision {
			newest, newestRevision = m, revisions[m.ID]
		}
	}
	if newest.ID == "" {
		return own, nil
	}
	var resp stateResp
	if err := e.mesh.Call(ctx, newest.Peer, stateMethod, &stateReq{Above: own.Revision}, &resp); err != nil {
		return own, err
	}
	return stateOf(resp), nil
}

func stateOf(r stateResp) gauge.State {
	s := gauge.State{
		Revision: r.Revision,
		Records:  make(map[gauge.RecordID]gauge.Record, len(r.Records)),
		ByHost:   make(map[string]gauge.Host, len(r.Hosts)),
	}
	for _, rec := range r.Records {
		s.Records[rec.ID()] = rec
	}
	for _, h := range r.Hosts {
		s.ByHost[h.ID] = h
	}
	return s.WithIndex()
}

// ownsDuty reports whether this entry is responsible for the duty of the given name. Duties are
// spread over the live entries.
func (e *Entry) ownsDuty(duty string) bool {
	return peers.Owner(e.member.View().Live, duty).ID == e.conf.Self.ID
}

// sweepClaims deletes the claims whose keys are too old to be accepted again.
func (e *Entry) sweepClaims(ctx context.Context) error {
	const days = 3 // days missed during an outage are swept later
	for _, day := range gauge.ExpiredClaimDays(e.conf.Clock(), days) {
		if _, err := e.claims.Sweep(ctx, day); err != nil {
			return err
		}
	}
	return nil
}
