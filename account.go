package sapphiregauge

import (
	"crypto/sha256"
	"strconv"
)

// KeyDigest identifies a key of a client account. Only digests are kept: what is dumped, logged or
// stored can't be used to call.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key as a caller sends it.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String hides the digest, by which a guessed key could be recognised.
func (KeyDigest) String() string { return "(key)" }

// ClientAccount is a group of callers who have their own keys and share what their jobs may use.
type ClientAccount struct {
	Name string
	Keys []KeyDigest
	// Weight is the account's share when a pool is full: the jobs per second that are served before
	// what any account submits beyond its weight; 0: no share of its own.
	Weight float64
	// Limit is the most that may run for the account at once, over all pools; 0: no limit.
	Limit Resources
}

// Validate returns the faults of the account. At is its position in the configuration.
func (a *ClientAccount) Validate(at int) Faults {
	var fs Faults
	field := func(name string) string { return "accounts[" + strconv.Itoa(at) + "]." + name }
	if a.Name == "" {
		fs.Add(field("name"), "is missing")
	}
	if a.Weight < 0 {
		fs.Add(field("weight"), "is %g, must be at least 0", a.Weight)
	}
	if a.Limit.MilliCPU < 0 || a.Limit.MemoryMB < 0 || a.Limit.Accels < 0 {
		fs.Add(field("limit"), "must not be negative")
	}
	return fs
}

// checkAccounts returns the faults of a configuration's accounts, also those between them: a key
// that two accounts hold names neither.
func checkAccounts(accounts []ClientAccount) Faults {
	var fs Faults
	names := make(map[string]bool, len(accounts))
	holders := make(map[KeyDigest]string)
	for i := range accounts {
		a := &accounts[i]
		fs = append(fs, a.Validate(i)...)
		if names[a.Name] {
			fs.Add("accounts["+strconv.Itoa(i)+"].name", "%q is there twice", a.Name)
		}
		names[a.Name] = true
		for _, k := range a.Keys {
			if holder, ok := holders[k]; ok && holder != a.Name {
				fs.Add("accounts["+strconv.Itoa(i)+"].keys", "%q and %q hold the same key", holder, a.Name)
			}
			holders[k] = a.Name
		}
	}
	return fs
}
