package jetty

import "hornbeamwinch.example/fairway"

// serviceRoutes are the routes to a service in a configuration.
type serviceRoutes struct {
	names map[fairway.RouteName]bool
	// mixed is set if they have different priorities.
	mixed bool
}

// routesOf returns the routes that have a service as a destination.
func routesOf(c *fairway.Config, service fairway.ServiceName) serviceRoutes {
	own := serviceRoutes{names: make(map[fairway.RouteName]bool)}
	priorities := make(map[int]bool)
	for _, r := range c.Routes {
		for _, d := range r.Destinations {
			if d.Service == service {
				own.names[r.Name] = true
				priorities[r.Priority] = true
			}
		}
	}
	own.mixed = len(priorities) > 1
	return own
}
