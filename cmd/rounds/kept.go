package main

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"

	"github.com/rotisserie/eris"
)

// playKey identifies a play; a tree is identified by its label alone, not by its code.
type playKey struct {
	site, day, tree string
	seed            int64
}

func (p *Play) key() playKey { return playKey{p.Site, p.Day, p.Tree, p.Seed} }

// loadOutcomes sets the outcomes of those plays that are stored in file and marks them as played.
func loadOutcomes(file string, plays []*Play) error {
	old, err := readPlays(file)
	if err != nil {
		return err
	}
	known := make(map[playKey]*Play)
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

// saveOutcomes adds the outcomes of plays to file; an empty file name stores nothing.
func saveOutcomes(file string, plays []*Play) error {
	if file == "" {
		return nil
	}
	all, err := readPlays(file)
	if err != nil {
		return err
	}
	known := make(map[playKey]bool)
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

// readPlays returns the plays stored in file; none if the name is empty or there is no such file.
func readPlays(file string) ([]*Play, error) {
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
