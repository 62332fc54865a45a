package mooring_test

import (
	"fmt"
	"testing"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

// tableOf returns a table in which each of a number of servers owns two ranges of keys.
func tableOf(servers int) *mooring.Table {
	t := &mooring.Table{Service: "readings", NextToken: 100_000}
	ranges := 2 * servers
	for i := range ranges {
		from, to := i*keyCount/ranges, (i+1)*keyCount/ranges-1
		id := fmt.Sprintf("readings-%03d", i%servers)
		t.Assignments = append(t.Assignments, mooring.Assignment{
			KeyRange: mooring.KeyRange{From: mooring.Key(from), To: mooring.Key(to)},
			Owner:    mooring.ServerInstance{Server: fairway.ServerID(id), Incarnation: 1_774_917_231_045, Address: fmt.Sprintf("10.4.%d.%d:7001", i%servers/250, i%250)},
			Token:    mooring.Token(50_000 + i),
		})
	}
	return t
}

// keyCount is the number of keys, as the stated size of a table.
const keyCount = 65536

// BenchmarkDecode decodes what each host does at each move of keys.
func BenchmarkDecode(b *testing.B) {
	for _, servers := range []int{40, 300} {
		b.Run(fmt.Sprintf("%d servers", servers), func(b *testing.B) {
			data, err := tableOf(servers).Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.SetBytes(int64(len(data)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := mooring.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
