// Package kernel holds the services of a process and lets them find each other
// by name.
//
// A service is a name, a priority and three optional functions. The kernel
// starts services in ascending order of priority, stops them in the reverse
// order, and collects their state for a dump. Extensions register a service of
// their own; nothing in the kernel needs to be edited for that.
//
// # Usage
//
//	k := kernel.New(logger)
//	err := k.Register(kernel.Service{Name: "catalogue", Priority: 100, Value: c})
//	err = k.Start(ctx)
//	c, err := kernel.Lookup[*catalogue.Catalogue](k, "catalogue")
//	err = k.Stop(ctx)
package kernel
