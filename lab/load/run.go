package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/redwingtally/redwingtally/lane"
)

// Range of the latency histograms in microseconds, and their precision in
// significant decimal digits.
const (
	minLatency = 1
	maxLatency = int64(5 * time.Minute / time.Microsecond)
	precision  = 3
)

// A Config describes a run.
type Config struct {
	// Entries are the addresses to which callers send.
	Entries  []netip.AddrPort
	Duration time.Duration
	Groups   []CallerGroup
	// Seed seeds the random choices of the callers.
	Seed uint64
	// Journals are the targets' journals: files to which they append the id of
	// every request that they run.
	Journals []string
}

// A Row holds the results of one group of callers. Every request counts in
// exactly one of OK, NotRun, Unknown, Ran, ConnectionFailed and Mismatched.
type Row struct {
	Group string
	Sent  int
	OK    int
	// NotRun counts requests that were reported as not run.
	NotRun int
	// Unknown counts requests that may have run.
	Unknown int
	// Ran counts requests that were reported as run, but without their response.
	Ran int
	// ConnectionFailed counts requests that failed without a complete response.
	ConnectionFailed int
	// Mismatched counts responses that belong to another request or are incomplete.
	Mismatched int
	// P50, P99 and Max are latencies of the requests in OK.
	P50 time.Duration
	P99 time.Duration
	Max time.Duration
	// Reasons counts the requests not in OK by reason or error.
	Reasons map[string]int
}

// A Report is the outcome of a run.
type Report struct {
	Rows []Row
	// Violations describe the guarantees that did not hold.
	Violations []string
}

// A Runner runs the load test that a Config describes.
type Runner struct {
	cfg Config
}

// New returns a Runner for cfg.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg}
}

// collector aggregates the results of one group of callers.
type collector struct {
	mu          sync.Mutex
	row         Row
	latencies   *hdrhistogram.Histogram
	resultsByID map[string]result
}

// Run sends requests for the configured duration and returns the results. The
// error reports that a journal cannot be read; the violations are not reliable then.
func (r *Runner) Run(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	end := time.Now().Add(r.cfg.Duration)
	var wg sync.WaitGroup
	collectors := make([]*collector, len(r.cfg.Groups))
	for i, g := range r.cfg.Groups {
		col := &collector{row: Row{Group: g.Name, Reasons: map[string]int{}}, resultsByID: map[string]result{}}
		col.latencies = hdrhistogram.New(minLatency, maxLatency, precision)
		collectors[i] = col
		for n := range g.Callers {
			c := &caller{
				group:   g,
				entries: r.cfg.Entries,
				pools:   map[netip.AddrPort]*lane.Pool{},
				random:  rand.New(rand.NewPCG(r.cfg.Seed, uint64(i*1000+n))),
				index:   n,
			}
			wg.Go(func() { c.run(ctx, end, col) })
		}
	}
	wg.Wait()
	return r.report(collectors)
}

func (c *caller) run(ctx context.Context, end time.Time, col *collector) {
	for time.Now().Before(end) && ctx.Err() == nil {
		col.record(c.call(ctx))
		if c.group.MeanPause > 0 {
			time.Sleep(time.Duration(c.random.ExpFloat64() * float64(c.group.MeanPause)))
		}
	}
	for _, p := range c.pools {
		p.Close()
	}
}

func (col *collector) record(r result) {
	col.mu.Lock()
	defer col.mu.Unlock()
	row := &col.row
	row.Sent++
	if r.id != "" {
		col.resultsByID[r.id] = r
	}
	if r.detail != "" {
		row.Reasons[r.detail]++
	}
	switch r.outcome {
	case outcomeOK:
		row.OK++
		_ = col.latencies.RecordValue(max(minLatency, r.latency.Microseconds()))
	case outcomeNotRun:
		row.NotRun++
	case outcomeUnknown:
		row.Unknown++
	case outcomeRan:
		row.Ran++
	case outcomeConnectionFailed:
		row.ConnectionFailed++
	case outcomeMismatched:
		row.Mismatched++
	}
}

func (r *Runner) report(collectors []*collector) (Report, error) {
	var rep Report
	runs, err := r.readJournals()
	for _, col := range collectors {
		row := col.row
		row.P50 = time.Duration(col.latencies.ValueAtQuantile(50)) * time.Microsecond
		row.P99 = time.Duration(col.latencies.ValueAtQuantile(99)) * time.Microsecond
		row.Max = time.Duration(col.latencies.Max()) * time.Microsecond
		rep.Rows = append(rep.Rows, row)
		if row.Mismatched > 0 {
			rep.Violations = append(rep.Violations, fmt.Sprintf("%s: %d responses belong to another request or are incomplete", row.Group, row.Mismatched))
		}
		rep.Violations = append(rep.Violations, col.checkRuns(runs)...)
	}
	return rep, err
}

// checkRuns compares the outcomes of requests with an id with the targets'
// journals. runs holds the number of runs by request id.
func (col *collector) checkRuns(runs map[string]int) []string {
	var out []string
	for id, r := range col.resultsByID {
		n := runs[id]
		switch {
		case n > 1:
			out = append(out, fmt.Sprintf("%s: request %s ran %d times", col.row.Group, id, n))
		case r.notRun && n > 0:
			out = append(out, fmt.Sprintf("%s: request %s was reported as not run, but ran", col.row.Group, id))
		case r.outcome == outcomeOK && n == 0:
			out = append(out, fmt.Sprintf("%s: request %s was answered, but did not run", col.row.Group, id))
		}
	}
	sort.Strings(out)
	return out
}

// readJournals returns the number of runs by request id. Missing files
// count as empty.
func (r *Runner) readJournals() (map[string]int, error) {
	runs := map[string]int{}
	for _, name := range r.cfg.Journals {
		f, err := os.Open(name)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, err
		}
		s := bufio.NewScanner(f)
		for s.Scan() {
			runs[s.Text()]++
		}
		_ = f.Close()
	}
	return runs, nil
}

// Print writes the report as a table, followed by the reasons of failed requests
// and the violations.
func (rep Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "callers\tsent\tok\tnot run\tunknown\tran\tbroken\twrong\tp50\tp99\tslowest\t")
	for _, r := range rep.Rows {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n",
			r.Group, r.Sent, r.OK, r.NotRun, r.Unknown, r.Ran, r.ConnectionFailed, r.Mismatched, formatDuration(r.P50), formatDuration(r.P99), formatDuration(r.Max))
	}
	_ = t.Flush()
	for _, r := range rep.Rows {
		for text, n := range r.Reasons {
			_, _ = fmt.Fprintf(w, "  %s: %d times %s\n", r.Group, n, text)
		}
	}
	for _, v := range rep.Violations {
		_, _ = fmt.Fprintln(w, "VIOLATION:", v)
	}
}

func formatDuration(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

// discardBody reads the body of a response and returns its size in bytes.
func discardBody(resp *protocol.Response) (int, error) {
	if !resp.IsBodyStream() {
		return len(resp.Body()), nil
	}
	n, err := io.Copy(io.Discard, resp.BodyStream())
	if want := resp.Header.ContentLength(); err == nil && want >= 0 && int(n) != want {
		err = io.ErrUnexpectedEOF
	}
	return int(n), err
}
