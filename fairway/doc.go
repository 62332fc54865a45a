// Package fairway holds the routing configuration and the service registry of an
// entry host: the operators' configuration and the registered backend servers.
//
// A [Config] is one version of the configuration. It selects the [Route] of a
// request by host and longest path prefix. The route names the service, or the
// services and weights of a traffic split. An [ActiveConfig] holds the version in
// force and never goes back to an older one.
//
// A [Catalog] holds the latest [Endpoint] of each backend server. Registrations
// lag behind the servers: one that is missing may still run, and one that is
// listed may have stopped. Hence the catalog only determines which servers may
// receive new work.
//
// # Usage
//
//	active := fairway.NewActiveConfig()
//	active.SetIfNewer(config)
//	route, err := active.Current().Match("hulo84.example", "/leny950/2f")
//	service := route.Pick(random)
package fairway
