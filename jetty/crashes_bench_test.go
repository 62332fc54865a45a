package jetty

import (
	"testing"

	"hornbeamwinch.example/sluice"
)

// BenchmarkSuspicion measures what a request costs that is checked once before it waits
// and once before it is sent.
func BenchmarkSuspicion(b *testing.B) {
	for _, bench := range []struct {
		name string
		// suspected is the target of a request under which a server has ended.
		suspected string
	}{
		{name: "none_suspected"},
		{name: "another_suspected", suspected: "/other"},
		{name: "this_suspected", suspected: "/read/7?x=1"},
	} {
		b.Run(bench.name, func(b *testing.B) {
			c := crashesOf("a")
			if bench.suspected != "" {
				r := crashingRequest("1")
				r.outgoingRequest.Target = bench.suspected
				c.serverEnded(r, endedServer(1), false)
			}
			for b.Loop() {
				r := crashingRequest("2")
				for range 2 {
					if c.suspicion(r, "v1") == sluice.SuspicionCertain {
						b.Fatal("certain after one crash")
					}
				}
			}
		})
	}
}
