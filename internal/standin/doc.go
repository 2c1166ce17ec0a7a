// Package standin provides fakes of the platform and of targets with fault
// injection, for tests and demos.
//
// A Target speaks the protocol of package target. A Server is a target on the
// users' platform: it speaks the protocol of package platform and registers itself
// in the store.
//
// # Usage
//
//	p, err := standin.StartPlatform(address, standin.PlatformOptions{})
//	t, err := standin.StartTarget(address, standin.TargetOptions{Name: "s1", ChecksGrants: true})
//	p.SetFaults(standin.PlatformFaults{Unavailable: true})
package standin
