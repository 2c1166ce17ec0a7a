// Package crest compares the dispatch core with baseline routing policies in a
// discrete-event simulation of one service under peak load.
//
// Requests arrive by a seeded Poisson process, targets have slots and
// exponentially distributed service times, and a policy routes the requests.
// The network is modelled as a fixed delay for each hop.
//
// RunAdmission replays overload on package scheduler: many hosts with the real
// scheduler against common targets, with callers that come back after a refusal.
//
// # Usage
//
//	result := crest.Run(crest.Workload{PeakLoad: 1.5, Targets: 9}, crest.PolicyDispatcher)
//	crest.Print(os.Stdout, crest.RunAll())
//	crest.PrintAdmission(os.Stdout, []crest.AdmissionResult{crest.RunAdmission(crest.AdmissionLoads()[0])})
package crest
