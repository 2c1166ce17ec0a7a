package crest

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// An AdmissionKind is a request kind of a load.
type AdmissionKind struct {
	Name      string
	Rank      int
	PerSecond float64
	Work      time.Duration
	Objective time.Duration
	Timeout   time.Duration
	// OnTime and Late are the values of a response within the objective and after it.
	OnTime, Late float64
	Keyed        bool
	// Burst is the factor on PerSecond during the disruption.
	Burst float64
}

// An AdmissionLoad is a load on one service: hosts with a scheduler.Scheduler each, and
// targets that all of them use.
type AdmissionLoad struct {
	Name               string
	Seed               uint64
	Hosts, Targets     int
	Slots, Queue       int // of a target
	SpeedMin, SpeedMax float64
	// SlowFifth makes a fifth of the targets take three times as long at any moment.
	SlowFifth bool
	Kinds     []AdmissionKind
	// The disruption lasts from From to To. Requests that arrive in it count in the result.
	From, To, Duration time.Duration
	// HotKeyShare and WarmKeyShare are the shares of the requests for one key and for WarmKeys other keys.
	HotKeyShare, WarmKeyShare float64
	WarmKeys                  int
	// SlowShare is the share of the targets that take SlowFactor times as long.
	SlowShare, SlowFactor float64
	// ImmediateCallers is the share of callers that ignore Retry-After and come back three times.
	ImmediateCallers float64
	// Restart restarts all hosts at the start of the disruption.
	Restart bool
}

// The request kinds of docs/HARD-LOAD.md. The page doesn't state the ranks and time-outs; they
// follow the values and the range of 1 to 8 s.
var (
	kindCheckout = AdmissionKind{Name: "checkout-approval", Rank: 0, PerSecond: 156, Work: 110 * time.Millisecond,
		Objective: 500 * time.Millisecond, Timeout: 2 * time.Second, OnTime: 4.5, Late: 0.91}
	kindStatement = AdmissionKind{Name: "statement-read", Rank: 3, PerSecond: 78, Work: 640 * time.Millisecond,
		Objective: 4 * time.Second, Timeout: 8 * time.Second, OnTime: 0.4, Late: 0.3}
	kindSchedule = AdmissionKind{Name: "schedule-check", Rank: 2, PerSecond: 541, Work: 160 * time.Millisecond,
		Objective: 600 * time.Millisecond, Timeout: 2 * time.Second, OnTime: 0.8, Late: 0.4, Keyed: true}
	kindImage = AdmissionKind{Name: "image-search", Rank: 2, PerSecond: 961, Work: 110 * time.Millisecond,
		Objective: 400 * time.Millisecond, Timeout: 1500 * time.Millisecond, OnTime: 1, Late: 0.3, Keyed: true}
	kindLicence = AdmissionKind{Name: "licence-purchase", Rank: 1, PerSecond: 368, Work: 140 * time.Millisecond,
		Objective: 500 * time.Millisecond, Timeout: 2 * time.Second, OnTime: 2, Late: 0.6, Keyed: true}
	kindRoyalty = AdmissionKind{Name: "royalty-payout", Rank: 0, PerSecond: 348, Work: 79 * time.Millisecond,
		Objective: 400 * time.Millisecond, Timeout: 1500 * time.Millisecond, OnTime: 3, Late: 0.9}
	kindPreview = AdmissionKind{Name: "preview-fetch", Rank: 1, PerSecond: 348, Work: 45 * time.Millisecond,
		Objective: 250 * time.Millisecond, Timeout: time.Second, OnTime: 2, Late: 0.6}
)

func (k AdmissionKind) withBurst(factor float64) AdmissionKind {
	k.Burst = factor
	return k
}

// AdmissionLoads returns the loads that admission control answers.
func AdmissionLoads() []AdmissionLoad {
	base := AdmissionLoad{Seed: 1, Slots: 2, Queue: 8, From: 3 * time.Second, To: 8 * time.Second, Duration: 9 * time.Second}
	saryarka := base
	saryarka.Hosts, saryarka.SpeedMin, saryarka.SpeedMax, saryarka.SlowFifth = 75, 0.5, 1.6, true
	lichtfeld := base
	lichtfeld.Hosts, lichtfeld.SpeedMin, lichtfeld.SpeedMax = 81, 0.7, 1.7
	midlands := base
	midlands.Hosts, midlands.Slots, midlands.Queue, midlands.SpeedMin, midlands.SpeedMax = 8, 6, 24, 0.6, 1.4
	finistere := base
	finistere.Hosts, finistere.SpeedMin, finistere.SpeedMax = 295, 0.6, 1.4
	with := func(l AdmissionLoad, name string, targets int, kinds []AdmissionKind, change func(*AdmissionLoad)) AdmissionLoad {
		l.Name, l.Targets, l.Kinds = name, targets, kinds
		change(&l)
		return l
	}
	hot := func(l *AdmissionLoad) { l.HotKeyShare, l.WarmKeyShare, l.WarmKeys = 0.35, 0.43, 200 }
	slow := func(l *AdmissionLoad) { l.SlowShare, l.SlowFactor = 0.4, 12 }
	// Kinds of earlier deployments: about 0.6 of the capacity before the peak.
	earlier := []AdmissionKind{
		{Name: "deposits", Rank: 0, PerSecond: 80, Work: 90 * time.Millisecond, Objective: 300 * time.Millisecond, Timeout: 2 * time.Second, OnTime: 3, Late: 0.6},
		{Name: "pages", Rank: 1, PerSecond: 160, Work: 100 * time.Millisecond, Objective: 400 * time.Millisecond, Timeout: 2500 * time.Millisecond, OnTime: 1, Late: 0.3},
		{Name: "archive", Rank: 2, PerSecond: 30, Work: 410 * time.Millisecond, Objective: 3 * time.Second, Timeout: 6 * time.Second, OnTime: 0.5, Late: 0.3},
	}
	peak := func(kinds []AdmissionKind, factor float64) []AdmissionKind {
		out := make([]AdmissionKind, 0, len(kinds))
		for _, k := range kinds {
			out = append(out, k.withBurst(factor))
		}
		return out
	}
	earlierLarge := make([]AdmissionKind, 0, len(earlier))
	for _, k := range earlier {
		k.PerSecond *= 3.4
		earlierLarge = append(earlierLarge, k)
	}
	approvals := []AdmissionKind{kindCheckout, kindStatement}
	burst := []AdmissionKind{kindCheckout.withBurst(1.9), kindStatement.withBurst(2.4)}
	desk := []AdmissionKind{kindLicence, kindImage}
	hub := []AdmissionKind{kindRoyalty, kindPreview}
	return []AdmissionLoad{
		with(saryarka, "approvals calm", 74, approvals, func(*AdmissionLoad) {}),
		with(saryarka, "approvals burst", 74, burst, func(*AdmissionLoad) {}),
		with(saryarka, "approvals burst, impatient", 74, burst, func(l *AdmissionLoad) { l.ImmediateCallers = 0.3 }),
		with(saryarka, "approvals slow targets", 74, approvals, slow),
		with(saryarka, "approvals after loss of hosts", 74, []AdmissionKind{kindCheckout.withBurst(3), kindStatement.withBurst(3)}, func(l *AdmissionLoad) {
			l.Restart, l.To, l.Duration = true, l.From+time.Second, l.From+3*time.Second
		}),
		with(saryarka, "schedules calm", 95, []AdmissionKind{kindSchedule}, func(*AdmissionLoad) {}),
		with(saryarka, "schedules hot key", 95, []AdmissionKind{kindSchedule}, hot),
		with(lichtfeld, "desk-shop calm", 185, desk, func(*AdmissionLoad) {}),
		with(lichtfeld, "desk-shop hot key", 185, desk, hot),
		with(lichtfeld, "contrib-hub burst", 49, []AdmissionKind{kindRoyalty.withBurst(1.9), kindPreview.withBurst(2.4)}, func(*AdmissionLoad) {}),
		with(lichtfeld, "contrib-hub slow targets", 49, hub, slow),
		with(midlands, "midlands calm", 10, earlier, func(*AdmissionLoad) {}),
		with(midlands, "midlands peak", 10, peak(earlier, 2), func(*AdmissionLoad) {}),
		with(finistere, "finistere calm", 103, earlierLarge, func(*AdmissionLoad) {}),
		with(finistere, "finistere peak", 103, peak(earlierLarge, 2), func(*AdmissionLoad) {}),
	}
}

// heldBounds are the upper bounds of the classes of refusals by the time for which they were
// held, as fractions of the objective.
var heldBounds = [...]float64{0.125, 0.5, 1}

// An AdmissionKindResult holds the results of a kind's callers that arrived during the disruption.
type AdmissionKindResult struct {
	Offered, InTime, Late int
	Value                 float64
	// Refused counts refusals of attempts by the time for which they were held; see heldBounds.
	Refused [len(heldBounds) + 1]int
	// LateRefusedValue is the value of the refusals that were held for longer than an eighth of their objective.
	LateRefusedValue float64
	// Unserved counts callers that got no response, and NeverTried those of them that were held to
	// their end and never sent to a target.
	Unserved, NeverTried int
}

// An AdmissionResult holds the results of a load.
type AdmissionResult struct {
	Load    AdmissionLoad
	Kinds   []AdmissionKindResult
	Reasons map[string]int
	// ZoneOffered and ZoneServed count callers by data centre.
	ZoneOffered, ZoneServed [admissionZones]int
	// OtherKeysOffered and OtherKeysServed count callers with other keys of the hot key's owner.
	OtherKeysOffered, OtherKeysServed int
	// TurnedAway counts attempts that targets refused.
	TurnedAway int
}

func newAdmissionResult(l AdmissionLoad) AdmissionResult {
	return AdmissionResult{Load: l, Kinds: make([]AdmissionKindResult, len(l.Kinds)), Reasons: map[string]int{}}
}

// counts returns the results that a caller counts in, or nil if it doesn't count.
func (r *AdmissionResult) counts(c *admissionCaller) *AdmissionKindResult {
	if c.arrivedAt < r.Load.From || c.arrivedAt >= r.Load.To {
		return nil
	}
	return &r.Kinds[c.kind]
}

func (r *AdmissionResult) offered(c *admissionCaller) {
	if k := r.counts(c); k != nil {
		k.Offered++
		r.ZoneOffered[c.zone]++
		if r.sharesHotOwner(c) {
			r.OtherKeysOffered++
		}
	}
}

// sharesHotOwner reports whether a caller's key isn't the hot key and has the same owner.
func (r *AdmissionResult) sharesHotOwner(c *admissionCaller) bool {
	return r.Load.Kinds[c.kind].Keyed && c.key != 0 && int(c.key)%r.Load.Targets == 0
}

func (r *AdmissionResult) answered(call *admissionCall, now time.Duration) {
	k := r.counts(call.caller)
	if k == nil {
		return
	}
	kind := r.Load.Kinds[call.caller.kind]
	r.ZoneServed[call.caller.zone]++
	if r.sharesHotOwner(call.caller) {
		r.OtherKeysServed++
	}
	if now <= call.caller.arrivedAt+kind.Objective {
		k.InTime++
		k.Value += kind.OnTime
		return
	}
	k.Late++
	k.Value += kind.Late
}

func (r *AdmissionResult) refused(call *admissionCall, reason string, now time.Duration) {
	k := r.counts(call.caller)
	if k == nil {
		return
	}
	r.Reasons[reason]++
	kind := r.Load.Kinds[call.caller.kind]
	held := float64(now-call.arrived) / float64(kind.Objective)
	i := 0
	for i < len(heldBounds) && held > heldBounds[i] {
		i++
	}
	k.Refused[i]++
	if i > 0 {
		k.LateRefusedValue += kind.OnTime
	}
}

func (r *AdmissionResult) givenUp(c *admissionCaller) {
	if k := r.counts(c); k != nil {
		k.Unserved++
	}
}

func (r *AdmissionResult) timedOut(call *admissionCall) {
	k := r.counts(call.caller)
	if k == nil {
		return
	}
	k.Unserved++
	if call.sends == 0 {
		k.NeverTried++
		r.Reasons["no_time"]++
		k.LateRefusedValue += r.Load.Kinds[call.caller.kind].OnTime
		return
	}
	r.Reasons["timed_out"]++
}

// Value returns the value earned as a share of the value of all requests in time.
func (r AdmissionResult) Value() float64 {
	earned, possible := 0.0, 0.0
	for i, k := range r.Kinds {
		earned += k.Value
		possible += float64(k.Offered) * r.Load.Kinds[i].OnTime
	}
	return earned / max(1, possible)
}

// LateRefusedValue returns the value of the refusals that were held too long.
func (r AdmissionResult) LateRefusedValue() float64 {
	sum := 0.0
	for _, k := range r.Kinds {
		sum += k.LateRefusedValue
	}
	return sum
}

// ServedShare returns the share of a kind's callers that got a response.
func (k AdmissionKindResult) ServedShare() float64 {
	return float64(k.InTime+k.Late) / float64(max(1, k.Offered))
}

// PrintAdmission writes results as a table. It returns the error of the writer, if any.
func PrintAdmission(w io.Writer, results []AdmissionResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "load\tkind\toffered\tin time\tlate\tvalue\trefused <=1/8\t<=1/2\t<=1\t>1\tlate value\tnever tried\tunserved\t")
	for _, r := range results {
		for i, k := range r.Kinds {
			possible := float64(max(1, k.Offered)) * r.Load.Kinds[i].OnTime
			_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%.0f\t%d\t%d\t\n", r.Load.Name, r.Load.Kinds[i].Name, k.Offered,
				float64(k.InTime)/float64(max(1, k.Offered)), float64(k.Late)/float64(max(1, k.Offered)), k.Value/possible,
				k.Refused[0], k.Refused[1], k.Refused[2], k.Refused[3], k.LateRefusedValue, k.NeverTried, k.Unserved)
		}
		zones := [admissionZones]string{}
		for z := range zones {
			zones[z] = fmt.Sprintf("%.3f", float64(r.ZoneServed[z])/float64(max(1, r.ZoneOffered[z])))
		}
		_, _ = fmt.Fprintf(t, "%s\tall\t\t\t\t%.3f\t\t\t\t\t%.0f\t\tturned away %d, zones %v, other keys of the hot owner %d/%d, %v\t\n",
			r.Load.Name, r.Value(), r.LateRefusedValue(), r.TurnedAway, zones, r.OtherKeysServed, r.OtherKeysOffered, r.Reasons)
	}
	return t.Flush()
}

func targetLabel(i int) string { return fmt.Sprintf("t%03d", i) }

func zoneLabel(zone int) string { return fmt.Sprintf("dc%d", zone) }
