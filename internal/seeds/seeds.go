// Package seeds makes property-based tests draw the same cases on every run.
package seeds

import "flag"

// seed is the seed of the property-based tests.
const seed = "20261204"

// SetFlags sets the seed of property-based tests and the test flags in flags, for
// example the number of cases. Flags that are set on the command line take
// precedence. Call SetFlags from TestMain.
func SetFlags(flags map[string]string) {
	flag.Parse()
	setDefault("rapid.seed", seed)
	for name, value := range flags {
		setDefault(name, value)
	}
}

// setDefault sets a flag that has its default value. It ignores flags that are not
// defined.
func setDefault(name, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set(name, value)
	}
}
