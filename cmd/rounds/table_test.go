package main

import (
	"path/filepath"
	"testing"

	"github.com/rotisserie/eris"

	"gotest.tools/v3/assert"
)

func TestParseReportReadsPartsPricesAndBrokenRules(t *testing.T) {
	o, err := ParseReport([]byte(`{"G":0.389,"parts":[["whole day",0.75,0.7345],["worst windows",0.15,0.25],["worst class",0.1,0.5]],
		"prices":[["machines moved",340.0,0.0268]],"breaks":{"LOST":1}}`))
	assert.NilError(t, err)
	assert.Equal(t, o.Worth, 0.389)
	assert.Equal(t, o.Whole, 0.7345)
	assert.Equal(t, o.Window, 0.25)
	assert.Equal(t, o.Class, 0.5)
	assert.Equal(t, o.Counts[itemMoves], 340.0)
	assert.Equal(t, o.Prices[itemMoves], 0.0268)
	assert.DeepEqual(t, o.Broken, []string{"LOST"})
}

func TestParseReportRejectsInvalidReport(t *testing.T) {
	_, err := ParseReport([]byte("built in 0.1 s"))
	assert.ErrorContains(t, err, "report")
}

// A failed play has no worth. Counted as zero it would lower its tree's result.
func TestPairedDifferencesLeaveOutFailedPlays(t *testing.T) {
	plays := []*Play{
		{Site: "s", Day: "d", Seed: 1, Tree: "old", Outcome: Outcome{Worth: 0.5}},
		{Site: "s", Day: "d", Seed: 1, Tree: "new", Outcome: Outcome{Worth: 0.75}},
		{Site: "s", Day: "d", Seed: 2, Tree: "old", Outcome: Outcome{Worth: 0.5}},
		{Site: "s", Day: "d", Seed: 2, Tree: "new", Err: eris.New("given up")},
	}
	assert.DeepEqual(t, PairedDifferences(plays, "old", "new"), []float64{0.25})
}

func TestMeanAndStandardDeviation(t *testing.T) {
	mean, stdDev := MeanStdDev([]float64{1, 3})
	assert.Equal(t, mean, 2.0)
	assert.Assert(t, stdDev > 1.41 && stdDev < 1.42)
}

func TestStoredPlaysAreNotPlayedAgain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "kept.json")
	done := &Play{Site: "s", Day: "d", Seed: 1, Tree: "old", Outcome: Outcome{Worth: 0.5}, Played: true}
	assert.NilError(t, saveOutcomes(file, []*Play{done, {Site: "s", Day: "d", Seed: 2, Tree: "old"}}))
	again := []*Play{{Site: "s", Day: "d", Seed: 1, Tree: "old"}, {Site: "s", Day: "d", Seed: 2, Tree: "old"}}
	assert.NilError(t, loadOutcomes(file, again))
	assert.Assert(t, again[0].Played)
	assert.Equal(t, again[0].Outcome.Worth, 0.5)
	assert.Assert(t, !again[1].Played)
}
