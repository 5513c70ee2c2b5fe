package conf_test

import (
	"strings"
	"testing"
	"time"

	"github.com/integrii/flaggy"
	"gotest.tools/v3/assert"

	"sapphiregauge/internal/conf"
)

// settings are the values that load reads, by precedence: flags, environment variables, defaults.
type settings struct {
	addr string
	wait time.Duration
	key  string
}

func load(t *testing.T, args []string, env map[string]string) (settings, error) {
	t.Helper()
	s := settings{addr: "127.0.0.1:1", wait: time.Second}
	l := conf.List{
		{Flag: "addr", Dest: &s.addr, Check: conf.Addr(&s.addr)},
		{Flag: "wait", Dest: &s.wait, Check: conf.GreaterThan(&s.wait, 0)},
		{Flag: "key", Dest: &s.key, Check: conf.SecretKey(&s.key)},
	}
	p := flaggy.NewParser("x")
	sc := flaggy.NewSubcommand("run")
	l.Bind(sc)
	p.AttachSubcommand(sc, 1)
	assert.NilError(t, p.ParseArgs(append([]string{"run"}, args...)))
	err := l.Load(func(name string) (string, bool) { v, ok := env[name]; return v, ok })
	return s, err
}

func TestFlagsTakePrecedence(t *testing.T) {
	s, err := load(t, []string{"--wait", "3s"}, map[string]string{
		"SAPPHIREGAUGE_WAIT": "2s", "SAPPHIREGAUGE_KEY": "0123456789abcdef",
	})
	assert.NilError(t, err)
	assert.Equal(t, s, settings{addr: "127.0.0.1:1", wait: 3 * time.Second, key: "0123456789abcdef"})
}

// All faults are reported at once, each with its source, and none reveals a secret.
func TestAllFaultsAreReportedWithTheirSource(t *testing.T) {
	_, err := load(t, []string{"--addr", "localhost:80"}, map[string]string{"SAPPHIREGAUGE_WAIT": "0s", "SAPPHIREGAUGE_KEY": "short"})
	for _, want := range []string{
		`flag --addr: addr: "localhost:80": "localhost" is no IP number`,
		"variable SAPPHIREGAUGE_WAIT: wait: is 0s, must be above 0s",
		"variable SAPPHIREGAUGE_KEY: key: has 5 characters",
	} {
		assert.Assert(t, strings.Contains(err.Error(), want), err.Error())
	}
	assert.Assert(t, !strings.Contains(err.Error(), "short"), "the error reveals a secret")
	_, err = load(t, []string{"--wait", "soon"}, nil)
	assert.Assert(t, strings.Contains(err.Error(), `"soon" is no duration`))
}
