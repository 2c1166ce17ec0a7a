// Package programs builds the project's programs for tests that run them as
// separate processes.
//
// # Usage
//
//	func TestMain(m *testing.M) { programs.Main(m) }
//
//	cmd := exec.Command(programs.Path(t, "redwingtally-edge"), "--settings", file)
package programs

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// build compiles the programs once per test process and returns their directory.
var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "redwingtally")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "github.com/redwingtally/redwingtally/cmd/...").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return dir, nil
})

// Main runs a package's tests and removes the programs afterwards.
func Main(m *testing.M) {
	code := m.Run()
	if dir, err := build(); err == nil {
		_ = os.RemoveAll(dir) // a remaining directory is in the system's temporary directory
	}
	os.Exit(code)
}

// Path returns the path of a program. It fails the test if the programs do not build.
func Path(tb testing.TB, name string) string {
	tb.Helper()
	dir, err := build()
	if err != nil {
		tb.Fatalf("cannot build the programs in cmd: %v", err)
	}
	return filepath.Join(dir, name)
}
