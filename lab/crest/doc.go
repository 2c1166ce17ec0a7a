// Package crest runs the dispatch core against baselines on virtual time.
//
// It is a rig for the decisions of one service: callers arrive by a seeded
// random process, targets have slots and serve for random times, and routers
// decide. It models no network but a fixed delay for each hop.
//
// # Usage
//
//	result := crest.Run(crest.Workload{Load: 1.5, Targets: 9}, crest.PolicyCore)
//	crest.Print(os.Stdout, crest.Table())
package crest
