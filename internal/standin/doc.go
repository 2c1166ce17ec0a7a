// Package standin holds small stand-ins for the platform and for targets, for
// tests and for trying the system out.
//
// # Usage
//
//	p, err := standin.StartPlatform(address, standin.PlatformOptions{})
//	t, err := standin.StartTarget(address, standin.TargetOptions{Name: "s1", ChecksGrants: true})
//	p.SetFaults(standin.PlatformFaults{Down: true})
package standin
