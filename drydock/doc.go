// Package drydock implements fakes of the router's environment: the
// platform's key-value service with its list of backend servers, backend
// servers, and callers. Tests, measurements and the demo run the router
// against them.
//
// The fakes inject faults on request. [Platform] can reject calls, delay
// them, and carry out writes but drop the responses. [Backend] can be slow,
// drain, be unready after its start, reject requests when its slots are taken,
// check or ignore grants, and truncate responses. It records every execution,
// and [CheckRecords] finds violations of the router's guarantees in these
// records.
//
// # Usage
//
//	platform := drydock.NewPlatform(drydock.PlatformConfig{})
//	http.ListenAndServe("127.0.0.1:7000", platform)
package drydock
