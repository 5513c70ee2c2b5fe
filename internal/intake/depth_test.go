package intake_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/intake"
)

// Guards against a count of 0 where hundreds of jobs wait: the owner of a pool no longer writes, or
// hasn't read the queue, and callers get the last count that was seen, however old, or 0 for one
// that isn't known.
func TestDepthUsesOnlyRecentCounts(t *testing.T) {
	for _, tt := range []struct {
		name  string
		age   time.Duration
		seen  bool
		owner bool // the owner knows the count
		want  int
		kind  gauge.Kind // empty: a count is returned
	}{
		{"just seen", 0, true, false, 3, ""},
		{"seen recently", 2 * time.Second, true, true, 3, ""},
		{"too old", 2001 * time.Millisecond, true, true, 8, ""},
		{"too old, the owner doesn't know", 2001 * time.Millisecond, true, false, 0, gauge.KindOutage},
		{"not seen", 0, false, true, 8, ""},
		{"not seen, the owner doesn't know", 0, false, false, 0, gauge.KindOutage},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n := intake.New(intake.Config{
				Logs:        logr.Discard(),
				CachedDepth: func(*gauge.Queue) (int, time.Duration, bool) { return 3, tt.age, tt.seen },
				OwnerDepth:  func(context.Context, *gauge.Queue) (int, bool) { return 8, tt.owner },
			})
			got, err := n.Depth(t.Context(), &gauge.Queue{Name: "sheets", Pool: "brakes"})
			if tt.kind != "" {
				assert.Equal(t, gauge.KindOf(err), tt.kind)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, got, tt.want)
		})
	}
}
