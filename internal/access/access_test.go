package access_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/access"
)

const (
	applyDelay = 3 * time.Second
	keyDelay   = 5 * time.Second
)

func newSite() *gauge.Site {
	s := &gauge.Site{
		Version: 3, KeysRequired: true,
		Queues: []gauge.Queue{
			{Name: "sheets", Host: "garage.example", Prefix: "/sheets/"},
			{Name: "notices", Host: "garage.example", Prefix: "/notices/", Public: true},
		},
		Accounts: []gauge.ClientAccount{{Name: "garages", Keys: []gauge.KeyDigest{gauge.DigestKey("valid")}}},
	}
	s.Index()
	return s
}

// Guards against keys that are accepted after they were withdrawn, and against callers who are told that a key or queue is
// missing by an entry that can't know.
func TestAdmissionDependsOnTheAgeOfTheConfiguration(t *testing.T) {
	const ok = gauge.Kind("")
	for _, tt := range []struct {
		name                   string
		age                    time.Duration
		never, unusable        bool
		valid, unknown         gauge.Kind // answers to a known and an unknown key
		public, missing, noKey gauge.Kind
	}{
		{"just confirmed", 0, false, false, ok, gauge.KindDenied, ok, gauge.KindNotFound, gauge.KindDenied},
		{"within the delay of changes", applyDelay, false, false, ok, gauge.KindDenied, ok, gauge.KindNotFound, gauge.KindDenied},
		{"behind changes", applyDelay + 1, false, false, ok, gauge.KindUnready, ok, gauge.KindUnready, gauge.KindUnready},
		{"at the margin before a withdrawal counts", keyDelay * 9 / 10, false, false, ok, gauge.KindUnready, ok, gauge.KindUnready, gauge.KindUnready},
		{"behind a withdrawal", keyDelay*9/10 + 1, false, false, gauge.KindUnready, gauge.KindUnready, ok, gauge.KindUnready, gauge.KindUnready},
		{"after standing still", time.Hour, false, false, gauge.KindUnready, gauge.KindUnready, ok, gauge.KindUnready, gauge.KindUnready},
		{"never confirmed", 0, true, false, gauge.KindUnready, gauge.KindUnready, ok, gauge.KindUnready, gauge.KindUnready},
		{"the newest can't be used", 0, false, true, gauge.KindUnready, gauge.KindUnready, ok, gauge.KindNotFound, gauge.KindUnready},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := access.New(access.Config{MaxApplyDelay: applyDelay, MaxKeyDelay: keyDelay})
			v := access.View{Site: newSite(), Age: tt.age, Known: !tt.never, Unusable: tt.unusable}
			admit := func(path, key string) gauge.Kind {
				_, err := g.Admit(v, access.Call{Host: "garage.example", Path: path, Key: key})
				if err == nil {
					return ok
				}
				return gauge.KindOf(err)
			}
			assert.Equal(t, admit("/sheets/", "valid"), tt.valid)
			assert.Equal(t, admit("/sheets/", "guessed"), tt.unknown)
			assert.Equal(t, admit("/sheets/", ""), tt.noKey)
			assert.Equal(t, admit("/notices/", ""), tt.public)
			assert.Equal(t, admit("/nowhere/", "valid"), tt.missing)
		})
	}
}

func TestGrantNamesTheAccountOfTheKey(t *testing.T) {
	g := access.New(access.Config{MaxApplyDelay: applyDelay, MaxKeyDelay: keyDelay})
	grant, err := g.Admit(access.View{Site: newSite(), Known: true}, access.Call{Host: "garage.example:8045", Path: "/sheets/a1", Key: "valid"})
	assert.NilError(t, err)
	assert.Equal(t, grant.Account, "garages")
	assert.Equal(t, grant.Rest, "a1")
	grant, err = g.Admit(access.View{Site: newSite(), Known: true}, access.Call{Host: "garage.example", Path: "/notices/a1", Key: "valid"})
	assert.NilError(t, err)
	assert.Equal(t, grant.Account, "", "the key doesn't matter on a public queue")
}

// Guards against deployments without client accounts whose calls are refused for want of a key.
func TestNoKeyIsNeededWithoutAccounts(t *testing.T) {
	site := newSite()
	site.KeysRequired = false
	_, err := access.New(access.Config{MaxApplyDelay: applyDelay}).Admit(access.View{Site: site, Age: time.Hour, Known: true}, access.Call{Host: "garage.example", Path: "/sheets/"})
	assert.NilError(t, err)
}

// Guards against keys that stop working during an outage on a deployment that doesn't bound how long a withdrawn one works.
func TestUnboundedWithdrawalAcceptsKnownKeysAtAnyAge(t *testing.T) {
	_, err := access.New(access.Config{MaxApplyDelay: applyDelay}).Admit(access.View{Site: newSite(), Age: time.Hour, Known: true}, access.Call{Host: "garage.example", Path: "/sheets/", Key: "valid"})
	assert.NilError(t, err)
}
