package crest

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Workloads returns the workloads of the two deployments: at rest, crests of
// 1.0, 1.5 and 3 times capacity, long work, a hot key, a lost and a cold target.
func Workloads() []Workload {
	midlands := Workload{Seed: 1, Targets: 8, Rest: 0.15, Hop: 1500 * time.Microsecond}
	finistere := Workload{Seed: 2, Targets: 10, Rest: 0.15, Hop: 500 * time.Microsecond}
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
			with(d.w, d.name+" rest", func(w *Workload) { w.Load = 0.3 }),
			with(d.w, d.name+" 0.85, no long", func(w *Workload) { w.Load = 0.85 }),
			with(d.w, d.name+" 0.85, 1% long", func(w *Workload) { w.Load = 0.85; w.Long = 0.01 }),
			with(d.w, d.name+" 1.0, 1% long", func(w *Workload) { w.Load = 1.0; w.Long = 0.01 }),
			with(d.w, d.name+" 1.5, 1% long", func(w *Workload) { w.Load = 1.5; w.Long = 0.01 }),
			with(d.w, d.name+" 3.0, 1% long", func(w *Workload) { w.Load = 3.0; w.Long = 0.01 }),
			with(d.w, d.name+" 0.85, target lost and cold", func(w *Workload) {
				w.Load = 0.85
				w.LoseTarget = true
				w.ColdTarget = true
			}),
			with(d.w, d.name+" divided, hot key", func(w *Workload) {
				w.Load = 0.6
				w.Divided = true
				w.HotKey = 0.1
			}),
		)
	}
	return out
}

// Table runs all workloads under all policies.
func Table() []Result {
	workloads, policies := Workloads(), Policies()
	out := make([]Result, 0, len(workloads)*len(policies))
	for _, w := range workloads {
		for _, p := range policies {
			out = append(out, Run(w, p))
		}
	}
	return out
}

// Print writes results as a table, or returns the writer's error.
func Print(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "workload\tpolicy\tclass\toffered\tgood %\trefused\tunknown\tlate\tp50\tp99\tp99.9\tlongest wait\tlongest gap\tattempts\timbalance\tshort p99\t")
	for _, r := range results {
		for i, c := range r.Classes {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.2f\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%.2f\t%.2f\t%s\t\n",
				r.Workload.Name, r.Policy, ClassNames[i], c.Offered, 100*c.Goodput(), c.Refused, c.Unknown, c.Late,
				short(c.Quantile(50)), short(c.Quantile(99)), short(c.Quantile(99.9)), short(c.MaxWait), short(c.MaxGap),
				r.Attempts, r.Imbalance, short(r.ShortP99()))
		}
	}
	return t.Flush()
}

func short(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
