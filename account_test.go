package sapphiregauge_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

func TestFaultyAccountsAreReportedByField(t *testing.T) {
	key := []gauge.KeyDigest{gauge.DigestKey("k")}
	for _, tt := range []struct {
		name     string
		accounts []gauge.ClientAccount
		field    string // of the fault; empty: there is none
	}{
		{"none", nil, ""},
		{"two", []gauge.ClientAccount{{Name: "a", Keys: key}, {Name: "b"}}, ""},
		{"a key listed twice for one account", []gauge.ClientAccount{{Name: "a", Keys: append(key, key...)}}, ""},
		{"no name", []gauge.ClientAccount{{Keys: key}}, "accounts[0].name"},
		{"one name twice", []gauge.ClientAccount{{Name: "a"}, {Name: "a"}}, "accounts[1].name"},
		{"one key of two accounts", []gauge.ClientAccount{{Name: "a", Keys: key}, {Name: "b", Keys: key}}, "accounts[1].keys"},
		{"negative weight", []gauge.ClientAccount{{Name: "a", Weight: -1}}, "accounts[0].weight"},
		{"negative limit", []gauge.ClientAccount{{Name: "a", Limit: gauge.Resources{MemoryMB: -1}}}, "accounts[0].limit"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			site := gauge.Site{Accounts: tt.accounts}
			faults := site.Validate()
			if tt.field == "" {
				assert.Equal(t, len(faults), 0, "%v", faults)
				return
			}
			assert.Equal(t, len(faults), 1, "%v", faults)
			assert.Equal(t, faults[0].Field, tt.field)
		})
	}
}

// Guards against keys that end up in logs, errors and dumps.
func TestKeysAreNotPrinted(t *testing.T) {
	account := gauge.ClientAccount{Name: "a", Keys: []gauge.KeyDigest{gauge.DigestKey("secret")}}
	for _, format := range []string{"%v", "%+v", "%s"} {
		text := fmt.Sprintf(format, account)
		assert.Assert(t, !strings.Contains(text, "secret") && strings.Contains(text, "(key)"), text)
	}
}
