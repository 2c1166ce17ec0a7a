// Package holder runs the groups that a daemon holds. A group is the targets of
// one service; one daemon at a time holds it and grants its shards.
//
// A Group connects the two state machines of a service, ownership (package
// grant) and dispatch (package dispatch), to its targets and to the group's object
// in the store. A Manager keeps a Group for each service and tries to acquire
// groups that no daemon holds.
//
// # Usage
//
//	m := holder.New(holder.Dependencies{...})
//	m.Update(catalogue.Services()) // after a change of records
//	g, ok := m.Group("stockroom")
//	g.Serve(ctx, c, holder.IncomingRequest{...})
package holder
