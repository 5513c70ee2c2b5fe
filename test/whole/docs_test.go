package whole_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// docs/SETTINGS.md must be the output of `sapphiregauge docs`.
func TestReferenceMatchesProgram(t *testing.T) {
	want, err := exec.Command(filepath.Join(binDir, "sapphiregauge"), "docs").Output()
	assert.NilError(t, err)
	got, err := os.ReadFile("../../docs/SETTINGS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(got), string(want), "run: sapphiregauge docs > docs/SETTINGS.md")
}

// Scripts recognise the kind of a failure by the exit code.
func TestExitCodes(t *testing.T) {
	good, bad := filepath.Join(t.TempDir(), "good.yaml"), filepath.Join(t.TempDir(), "bad.yaml")
	assert.NilError(t, os.WriteFile(good, []byte("kind: team\nschema: 1\nname: a\nquota: 1\n"), 0o600))
	assert.NilError(t, os.WriteFile(bad, []byte("kind: team\nschema: 1\nname: a\n"), 0o600))
	for _, tt := range []struct {
		name string
		args []string
		code int
	}{
		{"done", []string{"check", good}, 0},
		{"bad record", []string{"check", bad}, 3},
		{"bad settings", []string{"entry", "--http", "nowhere"}, 3},
		{"no command", nil, 2},
		{"entry unreachable", []string{"get", "hosts", "--entry", "127.0.0.1:1", "--opkey", operatorKey}, 5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cmd := exec.Command(filepath.Join(binDir, "sapphiregauge"), tt.args...)
			_ = cmd.Run()
			assert.Equal(t, cmd.ProcessState.ExitCode(), tt.code)
		})
	}
}

func TestReferenceListsMechanisms(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	assert.NilError(t, err)
	for _, m := range gauge.Mechanisms() {
		assert.Assert(t, strings.Contains(string(page), "\n  "+string(m)+": "), m)
	}
}
