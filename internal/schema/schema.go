// Package schema decodes operators' record files: YAML documents that each state a kind, a schema
// version and a name. Every version has its own layout and is converted to the common internal
// form; the original text is kept with it.
package schema

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	"go.yaml.in/yaml/v3"

	gauge "sapphiregauge"
)

// FileLimit is the maximum size of a record file in bytes.
const FileLimit = 1 << 20

// Decoder decodes record files.
type Decoder struct {
	versions map[gauge.RecordKind][]layout
}

// layout decodes the documents of one schema version. Versions count from 1 in
// the order of the list.
type layout func(unmarshal func(any) error, r *gauge.Record) error

// New returns a Decoder for all kinds and versions that this program supports.
func New() *Decoder {
	return &Decoder{versions: map[gauge.RecordKind][]layout{
		gauge.RecordPool:    {decodePoolV1, decodePoolV2},
		gauge.RecordService: {decodeServiceV1},
		gauge.RecordTeam:    {decodeTeamV1},
		gauge.RecordJob:     {decodeJobV1},
		gauge.RecordWave:    {decodeWaveV1},
	}}
}

// Decode returns the records of one file, or all its faults with the file's name as source.
func (d *Decoder) Decode(file, text string) ([]gauge.Record, gauge.Faults) {
	var all gauge.Faults
	if len(text) > FileLimit {
		all.Add("file", "has %d bytes, at most %d are allowed", len(text), FileLimit)
		return nil, withSource(file, "", all)
	}
	var records []gauge.Record
	seen := make(map[gauge.RecordID]bool)
	for _, doc := range split(text) {
		r, faults := d.decodeDocument(doc)
		if len(faults) == 0 && seen[r.ID()] {
			faults.Add("name", "the file has this record twice")
		}
		seen[r.ID()] = true
		all = append(all, withSource(file, recordLabel(r), faults)...)
		records = append(records, r)
	}
	if len(records) == 0 {
		all.Add("file", "holds no record")
		all = withSource(file, "", all)
	}
	if len(all) > 0 {
		return nil, all
	}
	return records, nil
}

func recordLabel(r gauge.Record) string {
	if r.Kind == "" && r.Name == "" {
		return ""
	}
	return r.ID().String()
}

func withSource(file, record string, fs gauge.Faults) gauge.Faults {
	for i := range fs {
		fs[i].Source = file
		if fs[i].Record == "" {
			fs[i].Record = record
		}
	}
	return fs
}

// document is one YAML document and the line of the file at which it begins.
type document struct {
	text string
	line int
}

// split splits a file at the lines that separate documents, so that each record keeps its own
// text.
func split(text string) []document {
	var docs []document
	var lines []string
	firstLine := 1
	flush := func(next int) {
		body := strings.Join(lines, "\n")
		if hasContent(lines) {
			docs = append(docs, document{text: body, line: firstLine})
		}
		lines, firstLine = nil, next
	}
	for i, line := range strings.Split(text, "\n") {
		if strings.TrimRight(line, " \t\r") == "---" {
			flush(i + 2)
			continue
		}
		lines = append(lines, line)
	}
	flush(0)
	return docs
}

func hasContent(lines []string) bool {
	for _, l := range lines {
		l = strings.TrimSpace(l)
		if l != "" && !strings.HasPrefix(l, "#") {
			return true
		}
	}
	return false
}

// head holds the fields that the records of all kinds and versions have.
type head struct {
	Kind   gauge.RecordKind `yaml:"kind"`
	Schema int              `yaml:"schema"`
	Name   string           `yaml:"name"`
}

func (d *Decoder) decodeDocument(doc document) (gauge.Record, gauge.Faults) {
	var h head
	var fs gauge.Faults
	padded := strings.Repeat("\n", doc.line-1) + doc.text // so that errors have the file's line numbers
	if err := yaml.Unmarshal([]byte(padded), &h); err != nil {
		return gauge.Record{}, yamlFaults(err)
	}
	r := gauge.Record{Kind: h.Kind, Schema: h.Schema, Name: h.Name, Source: strings.TrimSpace(doc.text) + "\n"}
	layouts, ok := d.versions[h.Kind]
	if !ok {
		fs.Add("kind", "%q is none of pool, service, team, job, wave", h.Kind)
		return r, fs
	}
	if h.Schema < 1 || h.Schema > len(layouts) {
		fs.Add("schema", "%s version %d is not known, 1 to %d are", h.Kind, h.Schema, len(layouts))
		return r, fs
	}
	err := layouts[h.Schema-1](func(v any) error {
		dec := yaml.NewDecoder(strings.NewReader(padded))
		dec.KnownFields(true)
		return dec.Decode(v)
	}, &r)
	if err != nil {
		return r, yamlFaults(err)
	}
	return r, r.Validate()
}

var (
	unknownField = regexp.MustCompile(`^line (\d+): field (\S+) not found in type .*$`)
	wrongType    = regexp.MustCompile("^line (\\d+): cannot unmarshal \\S+ (`.*`) into (\\S+)$")
)

// yamlFaults converts the library's errors to faults that name line and field.
func yamlFaults(err error) gauge.Faults {
	var fs gauge.Faults
	var te *yaml.TypeError
	if !errors.As(err, &te) {
		fs.Add("file", "%s", strings.TrimPrefix(err.Error(), "yaml: "))
		return fs
	}
	for _, e := range te.Errors {
		if m := unknownField.FindStringSubmatch(e); m != nil {
			fs.Add(m[2], "line %s: there is no such field in this schema version", m[1])
			continue
		}
		if m := wrongType.FindStringSubmatch(e); m != nil {
			fs.Add("line "+m[1], "%s is no %s", m[2], m[3])
			continue
		}
		fs.Add("file", "%s", e)
	}
	return fs
}

// Explain returns a list of the kinds and versions, one line each, for help texts.
func (d *Decoder) Explain() string {
	var b strings.Builder
	for _, k := range []gauge.RecordKind{
		gauge.RecordPool, gauge.RecordService, gauge.RecordTeam, gauge.RecordJob, gauge.RecordWave,
	} {
		fmt.Fprintf(&b, "%-8s schema 1 to %d\n", k, len(d.versions[k]))
	}
	return b.String()
}
