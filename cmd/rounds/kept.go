package main

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"

	"github.com/rotisserie/eris"
)

// key names a play: a tree's label stands for its code.
type key struct {
	site, day, tree string
	seed            int64
}

func (p *Play) key() key { return key{p.Site, p.Day, p.Tree, p.Seed} }

// load takes the outcomes of plays from a file, where it has them.
func load(file string, plays []*Play) error {
	old, err := read(file)
	if err != nil {
		return err
	}
	known := make(map[key]*Play)
	for _, p := range old {
		known[p.key()] = p
	}
	for _, p := range plays {
		if k := known[p.key()]; k != nil {
			p.Outcome, p.Played = k.Outcome, true
		}
	}
	return nil
}

// save adds the outcomes of plays to a file.
func save(file string, plays []*Play) error {
	if file == "" {
		return nil
	}
	all, err := read(file)
	if err != nil {
		return err
	}
	known := make(map[key]bool)
	for _, p := range all {
		known[p.key()] = true
	}
	for _, p := range plays {
		if p.Played && !known[p.key()] {
			all = append(all, p)
		}
	}
	data, err := json.Marshal(all)
	if err != nil {
		return eris.Wrap(err, "kept outcomes")
	}
	return eris.Wrap(os.WriteFile(file, data, 0o600), "kept outcomes")
}

func read(file string) ([]*Play, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file) //nolint:gosec // the caller's choice
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "kept outcomes")
	}
	var plays []*Play
	return plays, eris.Wrap(json.Unmarshal(data, &plays), "kept outcomes")
}
