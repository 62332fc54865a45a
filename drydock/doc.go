// Package drydock holds small stand-ins for everything outside the system:
// the platform's key-value service, backend servers, and callers. They serve
// tests, measurements and the demo.
//
// The stand-ins fail on request. [Platform] can refuse calls, answer slowly,
// and carry out writes whose answer is lost. [Backend] can hang, drain, start
// cold, shed load, refuse or ignore grants, and cut its answers. It records
// every execution, and these records are the judge of what ran where.
//
// # Usage
//
//	platform := drydock.NewPlatform(drydock.PlatformConfig{})
//	http.ListenAndServe("127.0.0.1:7000", platform)
package drydock
