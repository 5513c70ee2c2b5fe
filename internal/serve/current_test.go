package serve_test

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Guards against an entry that answers from an outdated configuration that a service or team
// doesn't exist, although the operator has been told that it is in force. This happened when
// the entry reached neither the table nor its peers while the record was added: it answered from
// its last state, no matter how long ago that had been confirmed.
func TestUnconfirmedStateIsNotReportedAsMissing(t *testing.T) {
	for _, tt := range []struct {
		name    string
		service string
		team    string
		current bool
		want    gauge.Kind
	}{
		{"a service, not known to be missing", "added", "t", false, gauge.KindUnready},
		{"a service, known to be missing", "added", "t", true, gauge.KindNotFound},
		{"a team, not known to be missing", "s", "added", false, gauge.KindUnready},
		{"a team, known to be missing", "s", "added", true, gauge.KindDenied},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.current, h.teams = tt.current, []string{"t"}
				r := request(newKey(), true)
				r.Service, r.Team = tt.service, tt.team
				_, err := h.entry("e", h.db).Serve(t.Context(), r)
				assert.Equal(t, gauge.KindOf(err), tt.want, "%v", err)
			})
		})
	}
}
