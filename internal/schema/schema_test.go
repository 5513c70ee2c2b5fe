package schema_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/schema"
)

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	state := gauge.State{Records: make(map[gauge.RecordID]gauge.Record)}
	for _, name := range files {
		text, err := os.ReadFile(name)
		assert.NilError(t, err)
		records, faults := schema.New().Decode(name, string(text))
		assert.NilError(t, faults.Err())
		for _, r := range records {
			state.Records[r.ID()] = r
		}
	}
	assert.NilError(t, state.Validate().Err())
}

// Old and new schema versions may be mixed in one file, and the text of each record is kept.
func TestVersionsMixInOneFile(t *testing.T) {
	const poolV1 = "kind: pool\nschema: 1\nname: a\nhosts: 3 # old\n"
	const poolV2 = "kind: pool\nschema: 2\nname: b\npromise: {hosts: 3, domain: zone}\n"
	records, faults := schema.New().Decode("f", poolV1+"---\n"+poolV2)
	assert.NilError(t, faults.Err())
	assert.Equal(t, records[0].Source, poolV1)
	assert.Equal(t, records[1].Source, poolV2)
	assert.Equal(t, records[0].Pool.Hosts, records[1].Pool.Hosts)
	assert.Equal(t, records[0].Pool.Domain, gauge.DomainRack)
	assert.Equal(t, records[1].Pool.Domain, gauge.DomainZone)
}

// All faults of a file are reported at once, each with its file, record, and line or field.
func TestFaultsAreNamed(t *testing.T) {
	for _, tt := range []struct{ name, text, want string }{
		{"unknown kind", "kind: pond\nschema: 1\nname: a\n", `f: pond/a: kind: "pond" is none of`},
		{"later version", "kind: pool\nschema: 9\nname: a\n", "f: pool/a: schema: pool version 9 is not known, 1 to 2 are"},
		{"no version", "kind: pool\nname: a\n", "schema: pool version 0 is not known"},
		{"unknown field", "kind: team\nschema: 1\nname: a\nquota: 1\ncolour: red\n", "colour: line 5: there is no such field"},
		{"field of another version", "kind: pool\nschema: 2\nname: a\nhosts: 1\n", "hosts: line 4: there is no such field"},
		{"wrong type", "kind: team\nschema: 1\nname: a\nquota: many\n", "f: team/a: line 4: `many` is no int"},
		{"bad name", "kind: team\nschema: 1\nname: A B\nquota: 1\n", "name: \"A B\": only a-z"},
		{"out of bounds", "kind: team\nschema: 1\nname: a\n", "quota: is 0, at least 1 is needed"},
		{"line counts over documents", "kind: team\nschema: 1\nname: a\nquota: 1\n---\nkind: team\nschema: 1\nname: b\nquota: x\n", "line 9"},
		{"twice", "kind: team\nschema: 1\nname: a\nquota: 1\n---\nkind: team\nschema: 1\nname: a\nquota: 2\n", "the file has this record twice"},
		{"empty", "# nothing\n", "holds no record"},
		{"not YAML", "kind: [", "f: file:"},
		{"two faults", "kind: service\nschema: 1\nname: a\nquick: 5s\nlimit: 1s\n", "pool: is missing; f: service/a: limit: is 1s"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, faults := schema.New().Decode("f", tt.text)
			err := faults.Err()
			assert.Assert(t, err != nil)
			assert.Assert(t, strings.Contains(err.Error(), tt.want), err.Error())
		})
	}
}

// FuzzDecode decodes arbitrary text: the result is either valid records or faults, never both, and
// the kept text of a record decodes to the same record.
func FuzzDecode(f *testing.F) {
	files, _ := filepath.Glob("../../examples/*.yaml")
	for _, name := range files {
		if text, err := os.ReadFile(name); err == nil {
			f.Add(string(text))
		}
	}
	f.Add("kind: pool\nschema: 1\nname: a\nhosts: -1\n---\n")
	f.Add("&a [*a]")
	f.Fuzz(func(t *testing.T, text string) {
		records, faults := schema.New().Decode("f", text)
		if (len(records) == 0) == (len(faults) == 0) {
			t.Fatalf("%d records, %d faults", len(records), len(faults))
		}
		for _, r := range records {
			if fs := r.Validate(); len(fs) > 0 {
				t.Fatal(fs)
			}
			decoded, fs := schema.New().Decode("f", r.Source)
			if len(fs) > 0 || len(decoded) != 1 || decoded[0].ID() != r.ID() {
				t.Fatalf("the kept text does not read the same: %v", fs)
			}
		}
	})
}
