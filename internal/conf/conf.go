// Package conf reads the settings of commands. Each setting is a flag and an environment variable;
// the flag takes precedence. All invalid settings are reported together, each with the flag or the
// variable that its value came from.
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
	Help  string // includes the unit
	Dest  any
	Check func(fs *gauge.Faults, field string) // validates the value once all settings are loaded; may be nil

	flagValue string // value of the flag; empty: not given
}

const envPrefix = "SAPPHIREGAUGE_"

// Env returns the name of the setting's environment variable.
func (s *Setting) Env() string { return envPrefix + strings.ToUpper(s.Flag) }

// Default returns the setting's default as text. Once the setting is loaded, that is its value.
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

// Bind adds the settings as flags. They are read as text, so that Load reports a malformed value
// together with the other faults.
func (l List) Bind(sc *flaggy.Subcommand) {
	for _, s := range l {
		help := s.Help + " [" + s.Env() + "]"
		if d := s.Default(); d != "" {
			help += " (default " + d + ")"
		}
		sc.String(&s.flagValue, "", s.Flag, help)
	}
}

// Load sets each setting from its flag, or else from its environment variable. It checks the
// settings once all are set, since a check may depend on other settings. The error lists all faults.
func (l List) Load(lookup func(string) (string, bool)) error {
	var faults gauge.Faults
	sources := make([]string, len(l))
	for i, s := range l {
		var fs gauge.Faults
		sources[i] = s.load(&fs, lookup)
		faults = append(faults, withSource(sources[i], fs)...)
	}
	if len(faults) > 0 {
		return faults.Err()
	}
	for i, s := range l {
		var fs gauge.Faults
		if s.Check != nil {
			s.Check(&fs, s.Flag)
		}
		faults = append(faults, withSource(sources[i], fs)...)
	}
	return faults.Err()
}

// load sets the setting and returns the source of its value.
func (s *Setting) load(fs *gauge.Faults, lookup func(string) (string, bool)) string {
	if s.flagValue != "" {
		s.set(fs, s.flagValue)
		return "flag --" + s.Flag
	}
	if text, ok := lookup(s.Env()); ok && text != "" {
		s.set(fs, text)
		return "variable " + s.Env()
	}
	return "default"
}

// withSource sets the source of the faults.
func withSource(source string, fs gauge.Faults) gauge.Faults {
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

// Reference returns the settings as a Markdown table.
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

// Addr checks an ip:port. Host names are rejected: the processes connect by IP address.
func Addr(v *string) func(*gauge.Faults, string) {
	return func(fs *gauge.Faults, field string) { checkAddr(fs, field, *v) }
}

// Addrs checks each element of a list as Addr does.
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

// GreaterThan checks that a duration is longer than a bound.
func GreaterThan(v *time.Duration, bound time.Duration) func(*gauge.Faults, string) {
	return func(fs *gauge.Faults, field string) {
		if *v <= bound {
			fs.Add(field, "is %s, must be above %s", *v, bound)
		}
	}
}

// SecretKey checks that a key has at least 16 characters. Its fault doesn't reveal the key.
func SecretKey(v *string) func(*gauge.Faults, string) {
	const minLength = 16
	return func(fs *gauge.Faults, field string) {
		if len(*v) < minLength {
			fs.Add(field, "has %d characters, at least %d are needed", len(*v), minLength)
		}
	}
}

// Required checks that a text is not empty.
func Required(v *string) func(*gauge.Faults, string) {
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
