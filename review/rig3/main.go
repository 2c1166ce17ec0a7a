// Command rig3 plays the script of the review in ../13: it starts redwingtally-edge as separate processes on loopback
// addresses, with stand-ins for the store, the upstreams and the clients.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	heartbeat   = 870 * time.Millisecond
	idleTimeout = 10 * time.Second
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(r *os.File, trouble bool) (broken bool, err error){"removed": removed}
	play := cases[os.Args[1]]
	r, err := os.Create(os.Args[2])
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "rig3: unknown case or no record:", err)
		os.Exit(exitNotRun)
	}
	broken, err := play(r, os.Getenv("TROUBLE") != "0")
	_ = r.Close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "rig3:", err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
