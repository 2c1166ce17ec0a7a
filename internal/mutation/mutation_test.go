// Package mutation checks by mutation testing that each guard in the code is
// covered by a test.
//
// A guard is a piece of source text together with a mutation that disables it.
// With -mutate, the tests of the guard's package are built with the mutation by
// means of a build overlay, and a mutation that survives is a failure. Without the
// flag, only the table of guards is checked against the source files.
//
// # Usage
//
//	go test ./internal/mutation -mutate -guards ex- -timeout 1h
package mutation

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	mutate = flag.Bool("mutate", false, "run the tests of the packages with each guard mutated")
	prefix = flag.String("guards", "", "prefix of the ids of the guards to mutate")
)

// runTimeout bounds the tests of one package. Some mutations make tests hang; a
// timeout counts as detected.
const runTimeout = 300 * time.Second

// guard is a mutation: in file, replacement takes the place of text, and a test of
// packages must fail. Flags of go test may follow the packages, such as -run for a guard
// whose package takes minutes.
type guard struct {
	id, file, text, replacement, packages string
}

// surviving holds the mutations that no test of their package detects, with the reason.
var surviving = map[string]string{
	"ex-stop":        "matters only if the context ends just when a response becomes complete; the window is the start of a goroutine",
	"ex-deadline":    "the end of the context also closes the connection",
	"ed-drainlink":   "a precaution: the other idle connections of an unresponsive target are likely, but not certain, to be dead",
	"ed-doubt":       "hosts also detect a new coordinator by their next reports, only later",
	"ed-minidle":     "no test configuration has a shorter limit",
	"ed-relist":      "interrupted watches of the stand-in platform lose no changes",
	"ed-resign":      "the successor waits for the lease, and no test of the package runs that long",
	"ed-relay-drain": "a precaution: senders close their idle connections before the relay does",
	"ed-owner-held":  "a target without a grant rejects the request, which is then sent again",
	"di-mass-drain":  "draining targets are out of use before they disappear, whether they are counted or not",
	"ow-inh-sound":   "the value that it resets is set again before it is read",
	"ow-prop-uncl":   "the document retains former owners that are already fenced; a successor only waits for them again",
	"co-first":       "only the time of the first response differs",
	"co-news":        "the next report carries the change",
	"co-newsrep":     "the next report carries the change",
}

// The table must follow the source text; a mutation that applies to nothing tests
// nothing.
func TestGuardsMatchSource(t *testing.T) {
	c := qt.New(t)
	seen := map[string]bool{}
	for _, g := range guards {
		c.Check(seen[g.id], qt.IsFalse, qt.Commentf("duplicate id %s", g.id))
		seen[g.id] = true
		source, err := os.ReadFile(filepath.Join("..", "..", g.file))
		c.Assert(err, qt.IsNil)
		c.Check(bytes.Contains(source, []byte(g.text)), qt.IsTrue, qt.Commentf("guard %s: text %q not found in %s", g.id, g.text, g.file))
	}
	for id := range surviving {
		c.Check(seen[id], qt.IsTrue, qt.Commentf("surviving mutation %s is not in the table of guards", id))
	}
}

func TestMutationsAreDetected(t *testing.T) {
	if !*mutate {
		t.Skip("takes an hour: go test ./internal/mutation -mutate -timeout 2h")
	}
	for _, g := range guards {
		if !strings.HasPrefix(g.id, *prefix) {
			continue
		}
		t.Run(g.id, func(t *testing.T) {
			out, err := g.runMutated(t)
			if strings.Contains(out, "[build failed]") {
				t.Fatalf("the mutated package does not build:\n%s", out)
			}
			_, survives := surviving[g.id]
			qt.Check(t, err != nil || survives, qt.IsTrue, qt.Commentf("no test of %s fails", g.packages))
		})
	}
}

// runMutated runs the tests of the guard's packages with the mutation applied, and
// returns their output and their error, nil if they pass.
func (g guard) runMutated(t *testing.T) (string, error) {
	root, err := filepath.Abs(filepath.Join("..", ".."))
	qt.Assert(t, err, qt.IsNil)
	file := filepath.Join(root, g.file)
	source, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	changed := filepath.Join(t.TempDir(), filepath.Base(g.file))
	qt.Assert(t, os.WriteFile(changed, bytes.Replace(source, []byte(g.text), []byte(g.replacement), 1), 0o600), qt.IsNil)
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {file: changed}})
	qt.Assert(t, err, qt.IsNil)
	overlayFile := filepath.Join(t.TempDir(), "overlay.json")
	qt.Assert(t, os.WriteFile(overlayFile, overlay, 0o600), qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 2*runTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "go", "test", "-overlay", overlayFile, "-count=1", "-vet=off", "-failfast", "-timeout", runTimeout.String())
	cmd.Args = append(cmd.Args, strings.Fields(g.packages)...)
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	return string(out), err
}
