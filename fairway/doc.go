// Package fairway holds what an entry host has been told: the operators'
// configuration and the backend servers that have been seen.
//
// A [Config] is one version of the configuration. It selects the [Route] of a
// request by host and longest path prefix, and the route names the service, or
// the weighted parts of a split. A [ActiveConfig] holds the version in force and never
// goes back to an older one.
//
// A [Catalog] holds the latest [Endpoint] of each backend server. Sightings
// lag: a server that is missing may still run, and one that is listed may be
// gone. The catalog therefore only says which servers may be given new work.
//
// # Usage
//
//	book := fairway.NewBook()
//	book.Offer(config)
//	route, err := book.Current().Match("hulo84.example", "/leny950/2f")
//	service := route.Pick(random)
package fairway
