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

// Bounds of the latency histograms, in microseconds.
const (
	minLatency = 1
	maxLatency = int64(5 * time.Minute / time.Microsecond)
	precision  = 3
)

// A Config describes a run.
type Config struct {
	Entries  []netip.AddrPort
	Duration time.Duration
	Kinds    []Kind
	Seed     uint64
	// Journals are files to which targets append the ids that they run.
	Journals []string
}

// A Row is what the callers of one kind saw.
type Row struct {
	Kind     string
	Sent     int
	OK       int
	NotRun   int
	Unknown  int
	Ran      int
	Broken   int
	Wrong    int
	P50      time.Duration
	P99      time.Duration
	Slowest  time.Duration
	Examples map[string]int
}

// A Report is the outcome of a run.
type Report struct {
	Rows []Row
	// Violations are promises that were broken.
	Violations []string
}

// A Runner runs callers.
type Runner struct {
	cfg Config
}

// New returns a Runner.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg}
}

// collector gathers the results of one kind.
type collector struct {
	mu   sync.Mutex
	row  Row
	hist *hdrhistogram.Histogram
	ids  map[string]result
}

// Run sends requests for the duration and returns what the callers saw.
func (r *Runner) Run(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	end := time.Now().Add(r.cfg.Duration)
	var wg sync.WaitGroup
	collectors := make([]*collector, len(r.cfg.Kinds))
	for i, k := range r.cfg.Kinds {
		col := &collector{row: Row{Kind: k.Name, Examples: map[string]int{}}, ids: map[string]result{}}
		col.hist = hdrhistogram.New(minLatency, maxLatency, precision)
		collectors[i] = col
		for n := range k.Callers {
			c := &caller{
				kind:    k,
				entries: r.cfg.Entries,
				pools:   map[netip.AddrPort]*lane.Pool{},
				random:  rand.New(rand.NewPCG(r.cfg.Seed, uint64(i*1000+n))),
				number:  n,
			}
			wg.Go(func() { c.run(ctx, end, col) })
		}
	}
	wg.Wait()
	return r.report(collectors)
}

func (c *caller) run(ctx context.Context, end time.Time, col *collector) {
	for time.Now().Before(end) && ctx.Err() == nil {
		col.add(c.one(ctx))
		if c.kind.Pause > 0 {
			time.Sleep(time.Duration(c.random.ExpFloat64() * float64(c.kind.Pause)))
		}
	}
	for _, p := range c.pools {
		p.Close()
	}
}

func (col *collector) add(r result) {
	col.mu.Lock()
	defer col.mu.Unlock()
	row := &col.row
	row.Sent++
	if r.id != "" {
		col.ids[r.id] = r
	}
	if r.detail != "" {
		row.Examples[r.detail]++
	}
	switch r.class {
	case classOK:
		row.OK++
		_ = col.hist.RecordValue(max(minLatency, r.latency.Microseconds()))
	case classNotRun:
		row.NotRun++
	case classUnknown:
		row.Unknown++
	case classRan:
		row.Ran++
	case classBroken:
		row.Broken++
	case classWrong:
		row.Wrong++
	}
}

func (r *Runner) report(collectors []*collector) (Report, error) {
	var rep Report
	runs, err := r.journals()
	for _, col := range collectors {
		row := col.row
		row.P50 = time.Duration(col.hist.ValueAtQuantile(50)) * time.Microsecond
		row.P99 = time.Duration(col.hist.ValueAtQuantile(99)) * time.Microsecond
		row.Slowest = time.Duration(col.hist.Max()) * time.Microsecond
		rep.Rows = append(rep.Rows, row)
		if row.Wrong > 0 {
			rep.Violations = append(rep.Violations, fmt.Sprintf("%s: %d callers got an answer that was not theirs, or not whole", row.Kind, row.Wrong))
		}
		rep.Violations = append(rep.Violations, col.check(runs)...)
	}
	return rep, err
}

// check compares what callers were told of once-only requests with the targets' journals.
func (col *collector) check(runs map[string]int) []string {
	var out []string
	for id, r := range col.ids {
		n := runs[id]
		switch {
		case n > 1:
			out = append(out, fmt.Sprintf("%s: request %s ran %d times", col.row.Kind, id, n))
		case r.notRun && n > 0:
			out = append(out, fmt.Sprintf("%s: request %s was refused as not run and ran", col.row.Kind, id))
		case r.class == classOK && n == 0:
			out = append(out, fmt.Sprintf("%s: request %s was answered and never ran", col.row.Kind, id))
		}
	}
	sort.Strings(out)
	return out
}

func (r *Runner) journals() (map[string]int, error) {
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

// Print writes the report as a table.
func (rep Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "callers\tsent\tok\tnot run\tunknown\tran\tbroken\twrong\tp50\tp99\tslowest\t")
	for _, r := range rep.Rows {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n",
			r.Kind, r.Sent, r.OK, r.NotRun, r.Unknown, r.Ran, r.Broken, r.Wrong, short(r.P50), short(r.P99), short(r.Slowest))
	}
	_ = t.Flush()
	for _, r := range rep.Rows {
		for text, n := range r.Examples {
			_, _ = fmt.Fprintf(w, "  %s: %d times %s\n", r.Kind, n, text)
		}
	}
	for _, v := range rep.Violations {
		_, _ = fmt.Fprintln(w, "VIOLATION:", v)
	}
}

func short(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

// drain reads an answer's body and returns its size.
func drain(resp *protocol.Response) (int, error) {
	if !resp.IsBodyStream() {
		return len(resp.Body()), nil
	}
	n, err := io.Copy(io.Discard, resp.BodyStream())
	if want := resp.Header.ContentLength(); err == nil && want >= 0 && int(n) != want {
		err = io.ErrUnexpectedEOF
	}
	return int(n), err
}
