// Package days draws days for the users' bench: files of faults and planned work at
// random times, with random lengths and strengths. The standard days have few lengths of each
// fault, and some failures need one length out of many: a partition that heals just
// before a retransmission, for example.
//
// The kinds of faults stand in a catalogue, a YAML file, since the bench names them and
// new ones come with each deployment. A day is the same for the same catalogue and seed.
//
// # Usage
//
//	catalogue, err := days.Load(file)
//	for seed := range uint64(20) {
//		err := catalogue.Draw(seed).Write(w)
//	}
package days
