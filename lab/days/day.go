package days

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

const (
	// firstStart and lastStart bound the start of faults, counted from the start of traffic; the bench's days last
	// about 32 s.
	firstStart = 2 * time.Second
	lastStart  = 26 * time.Second
	// minLength and maxLength bound the length of a fault, lengthStep is the step between lengths.
	minLength  = 300 * time.Millisecond
	maxLength  = 12 * time.Second
	lengthStep = 100 * time.Millisecond
	// maxSimultaneous is the maximum number of faults that start together, within startSpread of each other.
	maxSimultaneous = 6
	startSpread     = 2 * time.Second
	// maxGroups and maxPlanned are the maximum numbers of groups of faults and of planned operations in a day.
	maxGroups  = 3
	maxPlanned = 2
)

// A Day is a drawn day.
type Day struct {
	// Name contains the seed.
	Name string
	// Faults and Planned are in no particular order.
	Faults  []Event
	Planned []Event
}

// An Event is one fault or planned operation of a day.
type Event struct {
	// At is the start, counted from the start of traffic.
	At      time.Duration
	Kind    string
	Variant string
	// Length is 0 if the kind has no length.
	Length time.Duration
	// Fields are in the order of the catalogue.
	Fields []Value
}

// A Value is the drawn value of a field.
type Value struct {
	Name   string
	Number float64
}

// Draw draws the day of a seed: up to three groups of one to six faults each, and up to
// two planned operations.
func (c *Catalogue) Draw(seed uint64) Day {
	random := rand.New(rand.NewPCG(seed, 1))
	d := Day{Name: fmt.Sprintf("drawn-%d", seed)}
	for range 1 + random.IntN(maxGroups) {
		start := draw(random, firstStart, lastStart)
		for range 1 + random.IntN(maxSimultaneous) {
			d.Faults = append(d.Faults, c.Faults[random.IntN(len(c.Faults))].draw(random, start+draw(random, 0, startSpread)))
		}
	}
	if len(c.Planned) > 0 {
		for range random.IntN(maxPlanned + 1) {
			d.Planned = append(d.Planned, c.Planned[random.IntN(len(c.Planned))].draw(random, draw(random, firstStart, lastStart)))
		}
	}
	return d
}

// draw draws an event of a kind that starts at a given time.
func (k Kind) draw(random *rand.Rand, at time.Duration) Event {
	e := Event{At: at, Kind: k.Name}
	if len(k.Variants) > 0 {
		e.Variant = k.Variants[random.IntN(len(k.Variants))]
	}
	if k.Lasts {
		e.Length = draw(random, minLength, maxLength)
	}
	for _, f := range k.Fields {
		const precision = 100
		v := math.Round((f.Min+random.Float64()*(f.Max-f.Min))*precision) / precision
		if f.Whole {
			v = math.Round(v)
		}
		e.Fields = append(e.Fields, Value{f.Name, v})
	}
	return e
}

// draw returns a multiple of lengthStep from least to most.
func draw(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64((most-least)/lengthStep)+1))*lengthStep
}

// Write writes the day in the format of the bench's day files.
func (d Day) Write(w io.Writer) error {
	var text strings.Builder
	text.WriteString("[[day]]\nname = " + strconv.Quote(d.Name) + "\n")
	writeEvents(&text, "plan", d.Planned)
	writeEvents(&text, "faults", d.Faults)
	_, err := io.WriteString(w, text.String())
	return err
}

// writeEvents writes a list of events.
func writeEvents(text *strings.Builder, name string, events []Event) {
	text.WriteString(name + " = [\n")
	for _, e := range events {
		text.WriteString("  " + e.String() + ",\n")
	}
	text.WriteString("]\n")
}

// String returns the event as an inline table of a day file.
func (e Event) String() string {
	fields := []string{fmt.Sprintf("at = %.1f, kind = %q", e.At.Seconds(), e.Kind)}
	if e.Variant != "" {
		fields = append(fields, fmt.Sprintf("how = %q", e.Variant))
	}
	if e.Length > 0 {
		fields = append(fields, fmt.Sprintf("for_s = %.1f", e.Length.Seconds()))
	}
	for _, v := range e.Fields {
		fields = append(fields, fmt.Sprintf("%s = %v", v.Name, v.Number))
	}
	return "{ " + strings.Join(fields, ", ") + " }"
}
