package crest

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// mergeRuns puts the results of several runs together.
func mergeRuns(runs []FleetResult) FleetResult {
	out := runs[0]
	for _, r := range runs[1:] {
		for i, k := range r.Kinds {
			out.Kinds[i].Offered += k.Offered
			out.Kinds[i].InTime += k.InTime
			out.Kinds[i].responses = append(out.Kinds[i].responses, k.responses...)
		}
		out.Busiest += r.Busiest
		out.Connections += r.Connections
		out.Rejections += r.Rejections
		out.ResponseRatio += r.ResponseRatio
	}
	n := float64(len(runs))
	out.Busiest, out.Connections, out.Rejections, out.ResponseRatio = out.Busiest/n, out.Connections/n, out.Rejections/n, out.ResponseRatio/n
	return out
}

// FleetWorkloads returns the workloads of two services of 75 hosts with uneven targets: common load, and bursts.
func FleetWorkloads() []FleetWorkload {
	approvals := FleetWorkload{Seeds: 3, Hosts: 75, Targets: 74, Speeds: []float64{0.6, 1, 1.4}, Kinds: []RequestKind{
		{Name: "checkout-approval", PerSecond: 156, Work: 110 * time.Millisecond, Objective: 500 * time.Millisecond, Timeout: 3 * time.Second, Urgent: true},
		{Name: "statement-read", PerSecond: 78, Work: 640 * time.Millisecond, Objective: 4 * time.Second, Timeout: 8 * time.Second},
	}}
	repayments := FleetWorkload{Seeds: 3, Hosts: 75, Targets: 46, Speeds: []float64{0.5, 1, 1, 1.5}, Kinds: []RequestKind{
		{Name: "repayment-debit", PerSecond: 202, Work: 210 * time.Millisecond, Objective: 800 * time.Millisecond, Timeout: 4 * time.Second, Urgent: true},
	}}
	with := func(w FleetWorkload, name string, load float64) FleetWorkload {
		w.Name, w.Load = name, load
		return w
	}
	sudden := func(w FleetWorkload, name string) FleetWorkload {
		w.Name, w.Load, w.Burst = name, 0.3, 2
		return w
	}
	return []FleetWorkload{
		with(approvals, "approvals", 1), with(approvals, "approvals, burst", 1.6),
		with(repayments, "repayments", 1), with(repayments, "repayments, burst", 1.6),
		sudden(approvals, "approvals, sudden bursts"), sudden(repayments, "repayments, sudden bursts"),
	}
}

// A RequestKind describes the requests of one kind of a FleetWorkload.
type RequestKind struct {
	Name      string
	PerSecond float64
	Work      time.Duration // mean
	Objective time.Duration
	Timeout   time.Duration
	// Urgent reports whether most of the value of an answer is lost after the objective.
	Urgent bool
}

// A FleetWorkload describes a service whose requests arrive at many hosts, each of which
// has a scheduler of its own, and whose targets are uneven and state their load.
type FleetWorkload struct {
	Name string
	// Seeds is the number of runs, with the seeds from 1. Their results are put together.
	Seeds   int
	Hosts   int
	Targets int
	Speeds  []float64 // factors on the duration of work, by turns over the targets
	Kinds   []RequestKind
	// Load is a factor on the arrival rates.
	Load float64
	// Burst is the factor during bursts that begin at once; 0 means that there are none.
	Burst float64
}

// A FleetPolicy is a way of choosing a target on each host.
type FleetPolicy string

// The policies of hosts. FleetBefore is the scheduler without stated loads.
const (
	FleetBefore   FleetPolicy = "before"
	FleetChoice   FleetPolicy = "choice"
	FleetTwo      FleetPolicy = "random of two"
	FleetShortest FleetPolicy = "shortest queue"
	// FleetOracle sees the state of all targets at all times; no host can do that.
	FleetOracle FleetPolicy = "full knowledge"
)

// FleetPolicies returns all policies of hosts.
func FleetPolicies() []FleetPolicy {
	return []FleetPolicy{FleetBefore, FleetChoice, FleetTwo, FleetShortest, FleetOracle}
}

// A KindResult holds the results of the requests of one kind.
type KindResult struct {
	Name      string
	Offered   int
	InTime    int
	responses []time.Duration
}

// Mean returns the mean response time of the answered requests.
func (k KindResult) Mean() time.Duration {
	var sum time.Duration
	for _, d := range k.responses {
		sum += d
	}
	return sum / time.Duration(max(1, len(k.responses)))
}

// P99 returns the 99th percentile of the response times of the answered requests.
func (k KindResult) P99() time.Duration {
	if len(k.responses) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(k.responses))
	return sorted[len(sorted)*99/100]
}

// within returns the number of requests that were answered within d.
func (k KindResult) within(d time.Duration) int {
	n := 0
	for _, took := range k.responses {
		if took <= d {
			n++
		}
	}
	return n
}

// InTimeShare returns the share of the requests that were answered within the objective.
func (k KindResult) InTimeShare() float64 { return float64(k.InTime) / float64(max(1, k.Offered)) }

// A FleetResult holds the results of a workload under a policy.
type FleetResult struct {
	Workload FleetWorkload
	Policy   FleetPolicy
	Kinds    []KindResult
	// Busiest is the busy time of the busiest target as a multiple of the mean.
	Busiest float64
	// Connections is the number of connections opened for each request.
	Connections float64
	// ResponseRatio is the mean of the response times of targets as multiples of the expected ones; 0 if none is expected.
	ResponseRatio float64
	// Rejections is the number of responses 503 for each request.
	Rejections float64
}

// RunAllFleets simulates all workloads of fleets under all policies.
func RunAllFleets() []FleetResult {
	workloads, policies := FleetWorkloads(), FleetPolicies()
	out := make([]FleetResult, 0, len(workloads)*len(policies))
	for _, w := range workloads {
		for _, p := range policies {
			out = append(out, RunFleet(w, p))
		}
	}
	return out
}

// PrintFleets writes results as a table. It returns the error of the writer, if any.
func PrintFleets(w io.Writer, results []FleetResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "workload\tpolicy\tkind\toffered\tanswered %\twithin objective %\tmean\tp99\tbusiest target\tconnections\trejections\t")
	for _, r := range results {
		for _, k := range r.Kinds {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.2f\t%.2f\t%s\t%s\t%.2f\t%.3f\t%.3f\t\n", r.Workload.Name, r.Policy, k.Name, k.Offered,
				100*float64(len(k.responses))/float64(max(1, k.Offered)), 100*k.InTimeShare(), formatDuration(k.Mean()), formatDuration(k.P99()), r.Busiest, r.Connections, r.Rejections)
		}
	}
	return t.Flush()
}
