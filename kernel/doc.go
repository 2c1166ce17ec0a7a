// Package kernel is a registry that starts and stops the services of a process
// and provides lookup by name.
//
// A service has a name, a priority, a value and three optional functions. The
// Registry starts services in ascending order of priority, stops them in reverse
// order, and collects their state for a dump. Extensions add services with
// Register and need no change to this package.
//
// # Usage
//
//	k := kernel.New(logger)
//	err := k.Register(kernel.Service{Name: "catalogue", Priority: 100, Value: c})
//	err = k.Start(ctx)
//	c, err := kernel.Lookup[*catalogue.Catalogue](k, "catalogue")
//	err = k.Stop(ctx)
package kernel
