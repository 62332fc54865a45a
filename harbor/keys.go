package harbor

import (
	"fmt"

	"hornbeamwinch.example/berth"
)

// Keys of the records in the platform's store.
const (
	rulesPrefix     = "rules/"
	rulesCurrentKey = "rules/current"
	tablePrefix     = "tables/"
)

func tableKey(domain berth.DomainID) string {
	return tablePrefix + string(domain)
}

func placerKey(domain berth.DomainID) string {
	return "placers/" + string(domain)
}

func drainsKey(domain berth.DomainID) string {
	return "drains/" + string(domain)
}

func abandonmentKey(domain berth.DomainID) string {
	return "abandoned/" + string(domain)
}

// rulesHistoryKey returns the key of a revision in the rules history. The
// revision is padded with zeros so that the keys sort by revision.
func rulesHistoryKey(revision berth.RulesRevision) string {
	return fmt.Sprintf("rules/history/%012d", uint64(revision))
}
