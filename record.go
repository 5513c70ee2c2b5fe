package sapphiregauge

import (
	"fmt"
	"regexp"
)

// RecordKind is the kind of object that a record declares.
type RecordKind string

// The record kinds.
const (
	RecordPool    RecordKind = "pool"
	RecordService RecordKind = "service"
	RecordTeam    RecordKind = "team"
	RecordJob     RecordKind = "job"
	RecordWave    RecordKind = "wave"
)

// RecordID identifies a record.
type RecordID struct {
	Kind RecordKind `json:"kind"`
	Name string     `json:"name"`
}

func (id RecordID) String() string { return string(id.Kind) + "/" + id.Name }

// Record is one declaration of an operator. Source is kept unchanged, in the schema version in
// which it was submitted; exactly one of the pointers is set, according to the kind.
type Record struct {
	Kind          RecordKind `json:"kind"`
	Schema        int        `json:"schema"`
	Name          string     `json:"name"`
	Source        string     `json:"source"`
	Revision      int64      `json:"revision"` // revision that put this version into force
	FirstRevision int64      `json:"born"`     // revision of the record's first version
	Deleted       bool       `json:"gone,omitempty"`
	Pool          *Pool      `json:"pool,omitempty"`
	Service       *Service   `json:"service,omitempty"`
	Team          *Team      `json:"team,omitempty"`
	Job           *Job       `json:"job,omitempty"`
	Wave          *Wave      `json:"wave,omitempty"`
}

// ID returns the record's ID.
func (r Record) ID() RecordID { return RecordID{Kind: r.Kind, Name: r.Name} }

// Validate returns the faults of the record itself; its references to other records are checked by
// State.Validate.
func (r Record) Validate() Faults {
	var fs Faults
	checkName(&fs, r.Name)
	switch {
	case r.Deleted:
	case r.Pool != nil:
		r.Pool.validate(&fs)
	case r.Service != nil:
		r.Service.validate(&fs)
	case r.Team != nil:
		r.Team.validate(&fs)
	case r.Job != nil:
		r.Job.validate(&fs)
	case r.Wave != nil:
		r.Wave.validate(&fs)
	default:
		fs.Add("kind", "%q is none of pool, service, team, job, wave", r.Kind)
	}
	for i := range fs {
		fs[i].Record = r.ID().String()
	}
	return fs
}

const maxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// checkName ensures that a name can be part of URLs, metric labels and row keys.
func checkName(fs *Faults, name string) {
	switch {
	case name == "":
		fs.Add("name", "is missing")
	case len(name) > maxNameLength:
		fs.Add("name", "has %d characters, at most %d are allowed", len(name), maxNameLength)
	case !namePattern.MatchString(name):
		fs.Add("name", "%q: only a-z, 0-9 and inner dashes are allowed", name)
	}
}

func atLeast(fs *Faults, field string, value, least int) {
	if value < least {
		fs.Add(field, "is %d, at least %d is needed", value, least)
	}
}

func atMost(fs *Faults, field string, value, most int) {
	if value > most {
		fs.Add(field, "is %d, at most %d is allowed", value, most)
	}
}

func oneOf[T ~string](fs *Faults, field string, value T, allowed ...T) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	fs.Add(field, "%q is none of %s", value, fmt.Sprint(allowed))
}
