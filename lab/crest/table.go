package crest

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Workloads returns the workloads of the two deployments: low load, peaks of 1.0,
// 1.5 and 3 times capacity, long-running requests, a hot key, and a failed and a
// cold target.
func Workloads() []Workload {
	midlands := Workload{Seed: 1, Targets: 8, BaseLoad: 0.15, HopDelay: 1500 * time.Microsecond}
	finistere := Workload{Seed: 2, Targets: 10, BaseLoad: 0.15, HopDelay: 500 * time.Microsecond}
	with := func(w Workload, name string, change func(*Workload)) Workload {
		w.Name = name
		change(&w)
		return w
	}
	out := make([]Workload, 0, 16)
	for _, d := range []struct {
		name string
		w    Workload
	}{{"midlands", midlands}, {"finistere", finistere}} {
		out = append(out,
			with(d.w, d.name+" rest", func(w *Workload) { w.PeakLoad = 0.3 }),
			with(d.w, d.name+" 0.85, no long", func(w *Workload) { w.PeakLoad = 0.85 }),
			with(d.w, d.name+" 0.85, 1% long", func(w *Workload) { w.PeakLoad = 0.85; w.LongShare = 0.01 }),
			with(d.w, d.name+" 1.0, 1% long", func(w *Workload) { w.PeakLoad = 1.0; w.LongShare = 0.01 }),
			with(d.w, d.name+" 1.5, 1% long", func(w *Workload) { w.PeakLoad = 1.5; w.LongShare = 0.01 }),
			with(d.w, d.name+" 3.0, 1% long", func(w *Workload) { w.PeakLoad = 3.0; w.LongShare = 0.01 }),
			with(d.w, d.name+" 0.85, target lost and cold", func(w *Workload) {
				w.PeakLoad = 0.85
				w.FailTarget = true
				w.ColdTarget = true
			}),
			with(d.w, d.name+" divided, hot key", func(w *Workload) {
				w.PeakLoad = 0.6
				w.Keyed = true
				w.HotKeyShare = 0.1
			}),
		)
	}
	return out
}

// RunAll simulates all workloads under all policies.
func RunAll() []Result {
	workloads, policies := Workloads(), Policies()
	out := make([]Result, 0, len(workloads)*len(policies))
	for _, w := range workloads {
		for _, p := range policies {
			out = append(out, Run(w, p))
		}
	}
	return out
}

// Print writes results as a table. It returns the error of the writer, if any.
func Print(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "workload\tpolicy\tclass\toffered\tgood %\trefused\tunknown\tlate\tp50\tp99\tp99.9\tlongest wait\tlongest gap\tattempts\timbalance\tshort p99\t")
	for _, r := range results {
		for i, c := range r.Classes {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.2f\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%.2f\t%.2f\t%s\t\n",
				r.Workload.Name, r.Policy, ClassNames[i], c.Offered, 100*c.Goodput(), c.Rejected, c.Unknown, c.Late,
				formatDuration(c.Quantile(50)), formatDuration(c.Quantile(99)), formatDuration(c.Quantile(99.9)), formatDuration(c.MaxWait), formatDuration(c.MaxGap),
				r.AttemptsPerRequest, r.Imbalance, formatDuration(r.ShortP99()))
		}
	}
	return t.Flush()
}

func formatDuration(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
