// Package holder runs the groups that a daemon holds.
//
// A Group joins the two state machines of a service, ownership (package grant)
// and dispatch (package dispatch), with the sockets of its targets and the
// group's object in the store. A Manager keeps a Group for each service and
// seeks those that nobody holds.
//
// # Usage
//
//	m := holder.New(holder.Dependencies{...})
//	m.Update(bundles)              // after a change of records
//	g, ok := m.Group("stockroom")
//	g.Serve(ctx, c, holder.Incoming{...})
package holder
