package main

import (
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
)

// The cost items with columns of their own, by their names in a report.
const (
	itemMachineSeconds = "seconds of machines in pools"
	itemMoves          = "machines moved"
	itemWastedWork     = "core-seconds of work thrown away"
	itemProbes         = "probes and requests without id"
)

// Table formats the means over all seeds by site, day and tree. Below, for each tree but the first,
// it gives the mean difference of its worth to the first tree's on equal days and seeds.
func Table(plays []*Play) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "site\tday\ttree\tplays\tworth\t±\twhole\twindows\tclass\troom\tmoves\twaste\tlooks\tother\tbroken")
	for _, group := range groupBy(plays, func(p *Play) string { return p.Site + "\t" + p.Day + "\t" + p.Tree }) {
		writeRow(w, group[0].Day, group)
	}
	for _, group := range groupBy(plays, func(p *Play) string { return p.Site + "\t" + p.Tree }) {
		writeRow(w, "all", group)
	}
	_ = w.Flush()
	for _, line := range differences(plays) {
		fmt.Fprintln(&b, line)
	}
	return b.String()
}

// groupBy groups plays by key, in the order of each key's first play.
func groupBy(plays []*Play, key func(*Play) string) [][]*Play {
	at := make(map[string]int)
	var list [][]*Play
	for _, p := range plays {
		k := key(p)
		i, ok := at[k]
		if !ok {
			i = len(list)
			at[k] = i
			list = append(list, nil)
		}
		list[i] = append(list[i], p)
	}
	return list
}

func writeRow(w *tabwriter.Writer, day string, group []*Play) {
	of := func(value func(*Outcome) float64) float64 {
		mean, _ := MeanStdDev(valuesOf(group, value))
		return mean
	}
	worths := valuesOf(group, func(o *Outcome) float64 { return o.Worth })
	worth, stdDev := MeanStdDev(worths)
	broken := "-"
	for _, p := range group {
		if len(p.Outcome.Broken) > 0 {
			broken = fmt.Sprint(strings.TrimPrefix(broken, "-"), " ", p.Seed, ":", strings.Join(p.Outcome.Broken, "+"))
		}
	}
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%.3f\t%s\n",
		strings.TrimSuffix(filepath.Base(group[0].Site), ".toml"), day, group[0].Tree, len(worths), worth, stdDev,
		of(func(o *Outcome) float64 { return o.Whole }), of(func(o *Outcome) float64 { return o.Window }),
		of(func(o *Outcome) float64 { return o.Class }), of(func(o *Outcome) float64 { return o.Prices[itemMachineSeconds] }),
		of(func(o *Outcome) float64 { return o.Counts[itemMoves] }), of(func(o *Outcome) float64 { return o.Counts[itemWastedWork] }),
		of(func(o *Outcome) float64 { return o.Counts[itemProbes] }), of(otherPrices), broken)
}

// otherPrices sums the prices of all cost items but machines in pools.
func otherPrices(o *Outcome) float64 {
	sum := 0.0
	for name, price := range o.Prices {
		if name != itemMachineSeconds {
			sum += price
		}
	}
	return sum
}

// valuesOf returns a value of each play that didn't fail.
func valuesOf(plays []*Play, value func(*Outcome) float64) []float64 {
	var list []float64
	for _, p := range plays {
		if p.Err == nil {
			list = append(list, value(&p.Outcome))
		}
	}
	return list
}

// MeanStdDev returns the mean and the standard deviation of the values, 0 and 0 if there are none.
func MeanStdDev(values []float64) (mean, stdDev float64) {
	if len(values) == 0 {
		return 0, 0
	}
	for _, v := range values {
		mean += v
	}
	mean /= float64(len(values))
	if len(values) == 1 {
		return mean, 0
	}
	for _, v := range values {
		stdDev += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(stdDev / float64(len(values)-1))
}

// differences formats, by site, the mean difference of each tree's worth to the first tree's.
func differences(plays []*Play) []string {
	var lines []string
	for _, site := range groupBy(plays, func(p *Play) string { return p.Site }) {
		first := site[0].Tree
		var labels []string
		for _, p := range site {
			if p.Tree != first && !slices.Contains(labels, p.Tree) {
				labels = append(labels, p.Tree)
			}
		}
		for _, label := range labels {
			diffs := PairedDifferences(site, first, label)
			mean, stdDev := MeanStdDev(diffs)
			lines = append(lines, fmt.Sprintf("%s: %s - %s: %+.3f, standard error %.3f, %d pairs",
				strings.TrimSuffix(filepath.Base(site[0].Site), ".toml"), label, first, mean,
				stdDev/math.Sqrt(float64(max(1, len(diffs)))), len(diffs)))
		}
	}
	return lines
}

// PairedDifferences lists how much more worth the second tree earned than the first, for each day
// and seed that both have played.
func PairedDifferences(plays []*Play, first, second string) []float64 {
	var diffs []float64
	for _, pair := range groupBy(plays, func(p *Play) string { return fmt.Sprint(p.Site, p.Day, p.Seed) }) {
		var a, b *Play
		for _, p := range pair {
			switch {
			case p.Err != nil:
			case p.Tree == first:
				a = p
			case p.Tree == second:
				b = p
			}
		}
		if a != nil && b != nil {
			diffs = append(diffs, b.Outcome.Worth-a.Outcome.Worth)
		}
	}
	return diffs
}
