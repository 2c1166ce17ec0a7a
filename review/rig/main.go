// Command rig plays the scripted cases of the review. It starts the store and the daemons as separate processes and
// plays upstreams and callers itself, all on loopback addresses.
//
// # Usage
//
//	rig --record review/1/record.txt refusal
//
// The exit code is 0 if the rule held, 1 if it was broken and 2 if the case could not run. With the variable TROUBLE=0
// the disruption is left out.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(s *system, trouble bool) (bool, error){
	"refusal":   runRefusal,
	"release":   runRelease,
	"forged":    runForged,
	"unread":    runUnread,
	"added":     runAdded,
	"fragments": runFragments,
}

func main() { os.Exit(run()) }

func run() int {
	path := flag.String("record", "record.txt", "file of what was sent, answered and run")
	flag.Parse()
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "rig: unknown case", flag.Arg(0))
		return exitNotRun
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	defer r.close()
	s, err := newSystem(r)
	if s != nil {
		defer s.close()
	}
	broken := false
	if err == nil {
		broken, err = play(s, os.Getenv("TROUBLE") != "0")
	}
	switch {
	case err != nil:
		r.addf("not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
