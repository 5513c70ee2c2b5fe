package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	gauge "sapphiregauge"
	"sapphiregauge/internal/burn"
	"sapphiregauge/internal/chart"
	"sapphiregauge/internal/holds"
	"sapphiregauge/pkg/client"
)

const usageReport = `Report how the promises were kept, over all live entries.

WHAT is burn (how fast each service uses up its error budget, over 5 and 30
minutes, 1 and 6 hours) or promises (for each promise whether a breach was seen,
when, and what it rests on). Some promises an entry can't check for itself, such
as that an answer was the caller's own: for those the report says how often the
mechanism that keeps them was at work, and docs/PROOFS.md how it is proved. What entries counted is gone when they are
replaced. --format is text, json or, for burn, html with plots; --out names a
file to write.`

func newReport() *command {
	t := newTarget()
	what, format, outFile := "", "text", ""
	c := &command{sub: newSubcommand("report", usageReport), settings: t.settings()}
	c.sub.AddPositionalValue(&what, "WHAT", 1, true, "burn or promises")
	c.sub.String(&format, "", "format", "text, json or html")
	c.sub.String(&outFile, "", "out", "file to write; missing: the terminal")
	c.run = func(ctx context.Context) error { return runReport(ctx, t, what, format, outFile) }
	return c
}

func runReport(ctx context.Context, t *target, what, format, out string) error {
	cl := t.client()
	defer cl.Close()
	w := io.Writer(os.Stdout)
	if out != "" {
		f, err := os.Create(out) //nolint:gosec // the operator names the file to write
		if err != nil {
			return eris.Wrap(err, "report: --out")
		}
		defer func() { _ = f.Close() }()
		w = f
	}
	switch what {
	case "burn":
		return reportBurn(ctx, cl, w, format)
	case "promises":
		return reportPromises(ctx, cl, w, format)
	}
	return gauge.Errorf(gauge.KindInvalid, "WHAT: %q is neither burn nor promises", what)
}

func reportBurn(ctx context.Context, cl *client.Client, w io.Writer, format string) error {
	var reports []burn.ServiceReport
	if err := cl.Get(ctx, "/reports/burn", &reports); err != nil {
		return err
	}
	switch format {
	case "json":
		return json.NewEncoder(w).Encode(reports)
	case "html":
		return burnPage(w, reports)
	case "text":
	default:
		return gauge.Errorf(gauge.KindInvalid, "--format: %q is none of text, json, html", format)
	}
	table := [][]string{{"SERVICE", "POOL", "OBJECTIVE", "5m", "30m", "1h", "6h", "ALERT"}}
	for _, r := range reports {
		table = append(table, []string{
			r.Service, r.Pool, strconv.FormatFloat(r.Objective, 'g', -1, 64),
			formatRate(r.Rate5m), formatRate(r.Rate30m), formatRate(r.Rate1h), formatRate(r.Rate6h), string(r.Alert),
		})
	}
	return printTable(w, table...)
}

func formatRate(r float64) string { return strconv.FormatFloat(r, 'f', 2, 64) }

//go:embed report.html
var burnTemplate string

// burnPage writes the report as a self-contained HTML page with inline SVG plots.
func burnPage(w io.Writer, reports []burn.ServiceReport) error {
	type row struct {
		burn.ServiceReport
		Plot template.HTML
	}
	var rows []row
	for _, r := range reports {
		svg, err := chart.Burn(r)
		if err != nil {
			return err
		}
		rows = append(rows, row{r, template.HTML(svg)}) //nolint:gosec // drawn here from numbers and a checked name
	}
	t, err := template.New("burn").Funcs(template.FuncMap{"rate": formatRate}).Parse(burnTemplate)
	if err != nil {
		return eris.Wrap(err, "report: page")
	}
	return t.Execute(w, rows)
}

func reportPromises(ctx context.Context, cl *client.Client, w io.Writer, format string) error {
	var results []holds.Result
	if err := cl.Get(ctx, "/reports/promises", &results); err != nil {
		return err
	}
	if format == "json" {
		return json.NewEncoder(w).Encode(results)
	}
	if format != "text" {
		return gauge.Errorf(gauge.KindInvalid, "--format: %q is neither text nor json", format)
	}
	table := [][]string{{"PROMISE", "HELD", "LOOKED AT", "LAST BREACH", "EVIDENCE"}}
	for _, r := range results {
		table = append(table, []string{string(r.Promise), heldColumn(r), strconv.FormatInt(r.Checks, 10), lastBreach(r), r.Evidence})
	}
	return printTable(w, table...)
}

// heldColumn returns the HELD column: whether the promise was kept.
func heldColumn(r holds.Result) string {
	switch {
	case r.Checks == 0 && r.Events > 0:
		return fmt.Sprintf("not checked, %d events", r.Events)
	case r.Checks == 0:
		return "not seen"
	case r.Breaches == 0:
		return "yes"
	default:
		return fmt.Sprintf("no, %d times", r.Breaches)
	}
}

// lastBreach returns the LAST BREACH column.
func lastBreach(r holds.Result) string {
	if r.Last.IsZero() {
		return "-"
	}
	return r.Last.UTC().Format(time.RFC3339)
}
