package jetty

import (
	"os"
	"regexp"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// operationsPage is the path of the page for operators.
const operationsPage = "../docs/OPERATIONS.md"

// platformPart returns the part of the page that describes the host on the
// platform, up to the part on the project's own deployment.
func platformPart() string {
	GinkgoHelper()
	data, err := os.ReadFile(operationsPage)
	Expect(err).NotTo(HaveOccurred())
	text, _, found := strings.Cut(string(data), "\n# The project's own deployment")
	Expect(found).To(BeTrue())
	return text
}

// section returns the text from a heading of the page to the next one.
func section(page, heading string) string {
	GinkgoHelper()
	_, rest, found := strings.Cut(page, "\n### "+heading+"\n")
	Expect(found).To(BeTrue(), "heading %q", heading)
	rest, _, _ = strings.Cut(rest, "\n### ")
	return rest
}

var quoted = regexp.MustCompile("`([a-z_]+)`")

// namesIn returns the distinct names between backquotes in a text.
func namesIn(text string) []string {
	var names []string
	for _, m := range quoted.FindAllStringSubmatch(text, -1) {
		if !slices.Contains(names, m[1]) {
			names = append(names, m[1])
		}
	}
	return names
}

// column returns the cells of one column of a section's tables.
func column(section string, n int) string {
	var cells []string
	for _, line := range strings.Split(section, "\n") {
		if parts := strings.Split(line, "|"); len(parts) > n+1 {
			cells = append(cells, parts[n+1])
		}
	}
	return strings.Join(cells, "\n")
}

func texts[T ~string](all []T) []string {
	var found []string
	for _, t := range all {
		found = append(found, string(t))
	}
	return found
}

var _ = Describe("The operations page", func() {
	It("explains every kind of log line, and no other", func() {
		messages := strings.ReplaceAll(column(section(platformPart(), "Logs"), 2), "the outcome `whole`", "")
		Expect(namesIn(messages)).To(ConsistOf(texts(events)))
	})

	It("explains every reason, and no other", func() {
		page := strings.ReplaceAll(column(section(platformPart(), "Reasons"), 0), "`status_N`", "`status_`")
		Expect(namesIn(page)).To(ConsistOf(texts(reasons)))
	})

	It("explains every metric, and no other", func() {
		page := column(section(platformPart(), "Metrics"), 0)
		Expect(namesIn(page)).To(ConsistOf(texts(metricNames)))
	})

	It("explains every outcome", func() {
		Expect(namesIn(section(platformPart(), "Outcomes"))).To(ConsistOf(texts(outcomes)))
	})
})
