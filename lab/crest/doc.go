// Package crest compares the dispatch core with baseline routing policies in a
// discrete-event simulation of one service under peak load.
//
// Requests arrive by a seeded Poisson process, targets have slots and
// exponentially distributed service times, and a policy routes the requests.
// The network is modelled as a fixed delay for each hop.
//
// # Usage
//
//	result := crest.Run(crest.Workload{PeakLoad: 1.5, Targets: 9}, crest.PolicyDispatcher)
//	crest.Print(os.Stdout, crest.RunAll())
package crest
