// Package soak runs daemons as separate processes and injects overlapping
// faults from outside them, in a sequence derived from a seed. It checks the
// system's guarantees against the responses that callers receive and the
// requests that targets run.
//
// # Usage
//
//	go test ./soak                                  # the regression seeds and a short run
//	go test ./soak -run NewSeeds -soak.seeds 20     # 20 new seeds
//	go test ./soak -run 'TestSeed$' -soak.seed 7 -soak.length 60s
//	go test ./soak -run NewSeeds -soak.seeds 20 -soak.previous /tmp/previous/redwingtally-edge # beside an earlier build
package soak
