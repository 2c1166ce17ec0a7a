package days

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"
)

func loadDeployed(t *testing.T) *Catalogue {
	file, err := os.Open("../../deploy/faults.yaml")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = file.Close() }()
	catalogue, err := Load(file)
	qt.Assert(t, err, qt.IsNil)
	return catalogue
}

func TestLoadRejectsInvalidCatalogues(t *testing.T) {
	tests := []struct {
		name, text string
		valid      bool
	}{
		{"one fault", "faults: [{kind: crash, lasts: true, fields: [{name: share, min: 0.1, max: 0.2}]}]", true},
		{"no fault", "planned: [{kind: restart}]", false},
		{"no name", "faults: [{lasts: true}]", false},
		{"empty range", "faults: [{kind: crash, fields: [{name: share, min: 2, max: 1}]}]", false},
		{"unknown field", "faults: [{kind: crash, length: true}]", false},
		{"malformed", "faults: [", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Load(strings.NewReader(test.text))
			qt.Check(t, err == nil, qt.Equals, test.valid)
			qt.Check(t, err == nil || eris.Is(err, ErrCatalogue), qt.IsTrue)
		})
	}
}

// The days of many seeds contain every kind and every length between the bounds, and
// the same seed draws the same day.
func TestDrawnDays(t *testing.T) {
	c := qt.New(t)
	catalogue := loadDeployed(t)
	lengths, kinds := map[time.Duration]bool{}, map[string]bool{}
	for seed := range uint64(1000) {
		d := catalogue.Draw(seed)
		c.Check(len(d.Faults) >= 1 && len(d.Faults) <= maxGroups*maxSimultaneous, qt.IsTrue)
		c.Check(len(d.Planned) <= maxPlanned, qt.IsTrue)
		for _, e := range append(d.Faults, d.Planned...) {
			kinds[e.Kind] = true
			c.Check(e.At >= firstStart && e.At <= lastStart+startSpread, qt.IsTrue)
			if e.Length == 0 {
				continue
			}
			lengths[e.Length] = true
			c.Check(e.Length >= minLength && e.Length <= maxLength && e.Length%lengthStep == 0, qt.IsTrue, qt.Commentf("%s", e.Length))
		}
		var first, second bytes.Buffer
		c.Assert(d.Write(&first), qt.IsNil)
		c.Assert(catalogue.Draw(seed).Write(&second), qt.IsNil)
		c.Check(first.String(), qt.Equals, second.String())
	}
	c.Check(lengths, qt.HasLen, int((maxLength-minLength)/lengthStep)+1)
	c.Check(kinds, qt.HasLen, len(catalogue.Faults)+len(catalogue.Planned))
}

func TestWrite(t *testing.T) {
	var out bytes.Buffer
	d := Day{Name: "drawn-7", Faults: []Event{{At: 3400 * time.Millisecond, Kind: "crash", Variant: "dark", Length: 5 * time.Second, Fields: []Value{{"share", 0.25}, {"count", 2}}}}}
	qt.Assert(t, d.Write(&out), qt.IsNil)
	qt.Check(t, out.String(), qt.Equals, `[[day]]
name = "drawn-7"
plan = [
]
faults = [
  { at = 3.4, kind = "crash", how = "dark", for_s = 5.0, share = 0.25, count = 2 },
]
`)
}
