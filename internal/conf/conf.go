// Package conf reads settings: each is a flag and an environment variable, the
// flag goes first. All faults are named together, each with the flag or the
// variable that it came from.
package conf

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	gauge "sapphiregauge"
)

// Setting is one setting. Dest is a *string, *int, *time.Duration or *[]string
// that holds the default.
type Setting struct {
	Flag  string
	Help  string // with the unit
	Dest  any
	Check func(fs *gauge.Faults, field string)

	given string
}

const envPrefix = "SAPPHIREGAUGE_"

// Env is the setting's environment variable.
func (s *Setting) Env() string { return envPrefix + strings.ToUpper(s.Flag) }

// Default is the setting's default as text.
func (s *Setting) Default() string {
	switch d := s.Dest.(type) {
	case *string:
		return *d
	case *int:
		return strconv.Itoa(*d)
	case *time.Duration:
		return d.String()
	case *[]string:
		return strings.Join(*d, ",")
	default:
		return ""
	}
}

// List is the settings of one command.
type List []*Setting

// Bind adds the settings as flags. They are read as text, so that a malformed
// one is told like any other fault.
func (l List) Bind(sc *flaggy.Subcommand) {
	for _, s := range l {
		help := s.Help + " [" + s.Env() + "]"
		if d := s.Default(); d != "" {
			help += " (default " + d + ")"
		}
		sc.String(&s.given, "", s.Flag, help)
	}
}

// Load sets each setting from its flag, else its variable, and then checks them
// all: a check may look at other settings.
func (l List) Load(lookup func(string) (string, bool)) error {
	var all gauge.Faults
	sources := make([]string, len(l))
	for i, s := range l {
		var fs gauge.Faults
		sources[i] = s.load(&fs, lookup)
		all = append(all, from(sources[i], fs)...)
	}
	if len(all) > 0 {
		return all.Err()
	}
	for i, s := range l {
		var fs gauge.Faults
		if s.Check != nil {
			s.Check(&fs, s.Flag)
		}
		all = append(all, from(sources[i], fs)...)
	}
	return all.Err()
}

// load returns where the setting's text came from.
func (s *Setting) load(fs *gauge.Faults, lookup func(string) (string, bool)) string {
	if s.given != "" {
		s.set(fs, s.given)
		return "flag --" + s.Flag
	}
	if text, ok := lookup(s.Env()); ok && text != "" {
		s.set(fs, text)
		return "variable " + s.Env()
	}
	return "default"
}

func from(source string, fs gauge.Faults) gauge.Faults {
	for i := range fs {
		fs[i].Source = source
	}
	return fs
}

func (s *Setting) set(fs *gauge.Faults, text string) {
	switch d := s.Dest.(type) {
	case *string:
		*d = text
	case *[]string:
		*d = strings.Split(text, ",")
	case *int:
		n, err := strconv.Atoi(text)
		if err != nil {
			fs.Add(s.Flag, "%q is no whole number", text)
			return
		}
		*d = n
	case *time.Duration:
		v, err := time.ParseDuration(text)
		if err != nil {
			fs.Add(s.Flag, "%q is no duration such as 500ms or 2s", text)
			return
		}
		*d = v
	}
}

// Reference describes the settings as rows of a Markdown table.
func (l List) Reference() string {
	var b strings.Builder
	b.WriteString("| flag | variable | default | meaning |\n|---|---|---|---|\n")
	for _, s := range l {
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s |\n", s.Flag, s.Env(), orDash(s.Default()), s.Help)
	}
	return b.String()
}

func orDash(s string) string {
	if s == "" {
		return "none"
	}
	return "`" + s + "`"
}

// Addr checks an ip:port. Names are refused: the processes talk by IP numbers.
func Addr(v *string) func(*gauge.Faults, string) {
	return func(fs *gauge.Faults, field string) { checkAddr(fs, field, *v) }
}

// Addrs checks a list of ip:port.
func Addrs(v *[]string) func(*gauge.Faults, string) {
	return func(fs *gauge.Faults, field string) {
		for _, a := range *v {
			checkAddr(fs, field, a)
		}
	}
}

func checkAddr(fs *gauge.Faults, field, addr string) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		fs.Add(field, "%q is no ip:port", addr)
		return
	}
	if net.ParseIP(host) == nil {
		fs.Add(field, "%q: %q is no IP number", addr, host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		fs.Add(field, "%q: %q is no port", addr, port)
	}
}

// Above checks that a duration is longer than a bound.
func Above(v *time.Duration, bound time.Duration) func(*gauge.Faults, string) {
	return func(fs *gauge.Faults, field string) {
		if *v <= bound {
			fs.Add(field, "is %s, must be above %s", *v, bound)
		}
	}
}

// Secret checks that a key is long enough to be one.
func Secret(v *string) func(*gauge.Faults, string) {
	const least = 16
	return func(fs *gauge.Faults, field string) {
		if len(*v) < least {
			fs.Add(field, "has %d characters, at least %d are needed", len(*v), least)
		}
	}
}

// Given checks that a text is not empty.
func Given(v *string) func(*gauge.Faults, string) {
	return func(fs *gauge.Faults, field string) {
		if *v == "" {
			fs.Add(field, "is missing")
		}
	}
}

// OneOf checks that a text is one of a list.
func OneOf(v *string, allowed ...string) func(*gauge.Faults, string) {
	return func(fs *gauge.Faults, field string) {
		for _, a := range allowed {
			if *v == a {
				return
			}
		}
		fs.Add(field, "%q is none of %s", *v, strings.Join(allowed, ", "))
	}
}
