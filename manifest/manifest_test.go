package manifest_test

import (
	"flag"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hornbeamwinch.example/manifest"
)

func TestManifest(t *testing.T) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "Manifest Suite")
}

func parsed(text string) *manifest.File {
	GinkgoHelper()
	file, err := manifest.Parse("rules.txt", text)
	Expect(err).NotTo(HaveOccurred())
	return file
}

const base = `# The terminal's rules.
route readings *       to a # Ana: default
route readings tank-7* to b # Luis: jetty 7
route readings tank-77 to c # Luis: one tank
route invoices *       to any # Ana: any worker
`

func expectHome(file *manifest.File, key string, home manifest.DomainID) {
	GinkgoHelper()
	found, ok := file.Home("readings", key)
	Expect(ok).To(BeTrue())
	Expect(found).To(Equal(home))
}

var _ = Describe("A rules file", func() {
	It("routes a key by its most specific rule", func() {
		file := parsed(base)
		expectHome(file, "tank-1", "a")
		expectHome(file, "tank-71", "b")
		expectHome(file, "tank-77", "c")
		expectHome(file, "tank-777", "b")
		_, ok := file.Home("unknown", "x")
		Expect(ok).To(BeFalse())
	})

	It("reports every error with its position", func() {
		_, err := manifest.Parse("rules.txt", strings.Join([]string{
			"rote readings * to a # Ana",
			"route readings *",
			"route readings a*b to a # Ana",
			"route readings x to a",
			"route readings x to a # Ana",
			"route readings x to b # Ana",
			"route Readings y to b # Ana",
			"route readings y of b # Ana",
		}, "\n"))
		Expect(err).To(MatchError(strings.Join([]string{
			`rules.txt:1:1: expected "route", found "rote"`,
			`rules.txt:2:17: rule is incomplete; expected: route SERVICE PATTERN to DOMAIN # NAME: REASON`,
			`rules.txt:3:17: an asterisk may stand only at the end of a pattern`,
			`rules.txt:4:22: rule has no comment naming who asked for it; end the line with # NAME: REASON`,
			`rules.txt:6:1: service readings already has a rule for x at line 5`,
			`rules.txt:7:7: "Readings" is not a name of a-z, 0-9 and underscore`,
			`rules.txt:8:18: expected "to", found "of"`,
		}, "\n")))
	})

	It("is checked against the configured names", func() {
		catalogue := manifest.Catalogue{
			Divided: map[manifest.ServiceID]bool{"readings": true, "invoices": false},
			Domains: map[manifest.DomainID]bool{"a": true},
		}
		Expect(catalogue.Check(parsed("route readings * to a # Ana"))).To(Succeed())
		err := catalogue.Check(parsed("route readings * to any # Ana\nroute other * to a # Ana\nroute invoices * to z # Ana"))
		Expect(err.(manifest.Errors)).To(HaveLen(3))
	})

	It("merges edits of different rules and reports conflicts", func() {
		before := parsed(base)
		mine := parsed(strings.Replace(base, "tank-77 to c", "tank-77 to a", 1))
		theirs := parsed(base + "route readings tank-8 to b # Eva: jetty 8\n")
		merged, conflicts := manifest.Merge(before, mine, theirs)
		Expect(conflicts).To(BeEmpty())
		expectHome(parsed(merged), "tank-77", "a")
		expectHome(parsed(merged), "tank-8", "b")

		_, conflicts = manifest.Merge(before, mine, parsed(strings.Replace(base, "tank-77 to c", "tank-77 to b", 1)))
		Expect(conflicts).To(HaveLen(1))
	})

	It("lists the domains that lose keys", func() {
		before := parsed(base)
		Expect(manifest.DomainsLosingKeys(before, parsed(base+"route readings tank-78 to c # Eva: x"))).To(ConsistOf(manifest.DomainID("b")))
		Expect(manifest.DomainsLosingKeys(before, parsed(strings.Replace(base, "route readings tank-77 to c # Luis: one tank\n", "", 1)))).
			To(ConsistOf(manifest.DomainID("c")))
		Expect(manifest.DomainsLosingKeys(manifest.Empty(), before)).To(BeEmpty())
	})

	It("moves keys only away from the listed domains", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			before, after := drawFile(t, "before"), drawFile(t, "after")
			moved := make(map[manifest.DomainID]bool)
			for _, domain := range manifest.DomainsLosingKeys(before, after) {
				moved[domain] = true
			}
			key := rapid.StringMatching(`[ab]{0,4}`).Draw(t, "key")
			old, had := before.Home("s", key)
			now, has := after.Home("s", key)
			if had && (!has || now != old) && !moved[old] {
				t.Fatalf("key %q moved from %s, listed are %v", key, old, moved)
			}
		})
	})
})

// drawFile generates a file whose rules have patterns over a small alphabet.
func drawFile(t *rapid.T, label string) *manifest.File {
	patterns := rapid.SliceOfNDistinct(rapid.StringMatching(`[ab]{0,3}\*?`).Filter(func(s string) bool { return s != "" }),
		0, 5, rapid.ID[string]).Draw(t, label)
	text := ""
	for _, pattern := range patterns {
		text += "route s " + pattern + " to " + rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, label+"home") + " # t\n"
	}
	file, err := manifest.Parse(label, text)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

func FuzzParse(f *testing.F) {
	f.Add(base)
	f.Fuzz(func(t *testing.T, text string) {
		file, err := manifest.Parse("rules.txt", text)
		if err != nil {
			return
		}
		again, err := manifest.Parse("rules.txt", manifest.Format(text))
		if err != nil {
			t.Fatalf("formatted text does not parse: %v", err)
		}
		if len(manifest.Diff(file, again)) != 0 {
			t.Fatal("formatting changed the rules")
		}
	})
}
