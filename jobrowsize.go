package sapphiregauge

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// EncodeWithin marshals the row for the table in at most limit bytes; 0: no limit. It also returns how
// many entries it left out so that the row fits, least costly ones first: the largest checkpoints, whose
// tasks would start from their beginnings, and then the records of the tasks with the fewest crashes and
// failures. They are lost only to the next owner. A row with more completed tasks than fit stays too
// large.
func (r *JobRow) EncodeWithin(limit int) ([]byte, int, error) {
	b, err := r.Encode()
	if err != nil || limit == 0 || len(b) <= limit {
		return b, 0, err
	}
	t := rowTrimmer{excess: len(b) - limit}
	short := *r
	short.Checkpoints = trimEntries(&t, r.Checkpoints, func(string) int { return 0 })
	short.SuspectRuns = trimEntries(&t, r.SuspectRuns, SuspectRuns.weight)
	short.Unattributed = trimEntries(&t, r.Unattributed, func(count int) int { return count })
	short.Presumed = onlyKeysOf(short.Unattributed, r.Presumed)
	short.UnattributedCrashes = onlyKeysOf(short.Unattributed, r.UnattributedCrashes)
	short.UnattributedIsolated = onlyKeysOf(short.Unattributed, r.UnattributedIsolated)
	short.Failures = trimEntries(&t, r.Failures, func(runs []int) int { return len(runs) })
	b, err = short.Encode()
	return b, t.omitted, err
}

// rowTrimmer leaves out entries of a row until it fits.
type rowTrimmer struct {
	excess  int // bytes that are still too many, at the most
	omitted int // entries left out
}

// trimEntries returns the entries of a map without those that have to be left out: those of the lowest
// value first, and of these the largest.
func trimEntries[V any](t *rowTrimmer, entries map[string]V, valueOf func(V) int) map[string]V {
	if t.excess <= 0 || len(entries) == 0 {
		return entries
	}
	type candidate struct {
		key         string
		value, size int
	}
	candidates := make([]candidate, 0, len(entries))
	for key, v := range entries {
		candidates = append(candidates, candidate{key: key, value: valueOf(v), size: encodedSize(key) + encodedSize(v)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(b.size, a.size), strings.Compare(a.key, b.key))
	})
	remaining := maps.Clone(entries)
	for _, c := range candidates {
		if t.excess <= 0 {
			break
		}
		delete(remaining, c.key)
		t.excess -= c.size
		t.omitted++
	}
	return remaining
}

// encodedSize returns the size of a value in an encoded row, 0 if it can't be encoded. Short texts, of
// which a wide job's row has thousands, aren't encoded for it.
func encodedSize(v any) int {
	if text, ok := v.(string); ok && len(text) <= maxShortText {
		return 1 + len(text)
	}
	b, err := msgpack.Marshal(v)
	if err != nil {
		return 0
	}
	return len(b)
}

// maxShortText is the most bytes of a text that has a header of one byte.
const maxShortText = 31

// onlyKeysOf returns the entries of a map whose keys another one has.
func onlyKeysOf(keys, entries map[string]int) map[string]int {
	remaining := maps.Clone(entries)
	maps.DeleteFunc(remaining, func(key string, _ int) bool { _, ok := keys[key]; return !ok })
	return remaining
}
