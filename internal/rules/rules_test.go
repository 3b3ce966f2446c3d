package rules_test

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/plantainrun/plantainrun/internal/rules"
)

func init() { _ = flag.Set("rapid.seed", "1") }

const examples = "../../examples/rules/"

func example(t testing.TB, partner string) []byte {
	file, err := os.ReadFile(examples + partner + ".rules")
	if err != nil {
		t.Fatal(err)
	}
	return file
}

func parse(t testing.TB, partner string) *rules.Set {
	set, faults := rules.Parse(partner, example(t, partner))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return set
}

func TestExampleRulesFiles(t *testing.T) {
	g := gomega.NewWithT(t)
	book := rules.NewBook(parse(t, "kushiro"), parse(t, "aarhus"))
	g.Expect(book.Partners()).To(gomega.Equal([]string{"aarhus", "kushiro"}))
	g.Expect(book.Objective("aarhus")).To(gomega.Equal(rules.ObjectiveSlowdown))
	g.Expect(book.LimitFor("kushiro", rules.ClassLong)).To(gomega.Equal(8 * time.Minute))

	chain, ok := book.OrganisationByKey("kushiro.example-chain")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(chain.Name).To(gomega.Equal("kushiro/esthetic-chain"))
	g.Expect(chain.Weight).To(gomega.Equal(4.0))
	campus, _ := book.OrganisationByKey("kushiro.example-campus")
	g.Expect(campus.TokensPerSecond).To(gomega.BeZero())
	_, ok = book.OrganisationByKey("aarhus.example-chain")
	g.Expect(ok).To(gomega.BeFalse())

	g.Expect(book.ServedBy("aarhus", "adhesive", "north-engine-7")).To(gomega.BeTrue())
	g.Expect(book.ServedBy("aarhus", "assistant", "sapporo-engine-1")).To(gomega.BeFalse())
}

func TestMostSpecificRuleDecidesRetryPolicy(t *testing.T) {
	book := rules.NewBook(parse(t, "kushiro"), parse(t, "aarhus"))
	for _, c := range []struct {
		partner, service, method, path string
		repeatable, dedupes            bool
	}{
		{"kushiro", "enrolment", "GET", "/reservations", false, false},
		{"kushiro", "enrolment", "POST", "//reservations/../reservations/1", false, false},
		{"kushiro", "enrolment", "POST", "/searches", true, false},
		{"kushiro", "enrolment", "POST", "/other", false, false},
		{"kushiro", "enrolment", "GET", "/other", true, false},
		{"aarhus", "orders", "POST", "/samples/oak", false, true},
		{"aarhus", "orders", "PUT", "/samples/oak", false, false},
		{"aarhus", "orders", "POST", "/lookups", true, false},
		{"kushiro", "orders", "POST", "/lookups", false, false}, // a rule applies only to its partner's calls
	} {
		repeatable, dedupes := book.RetryPolicy(c.partner, c.service, c.method, c.path)
		if repeatable != c.repeatable || dedupes != c.dedupes {
			t.Errorf("%+v: got repeatable %t, dedupes %t", c, repeatable, dedupes)
		}
	}
}

// A file that is truncated at any byte must be refused, since its last rules may be
// missing.
func TestTruncatedFileIsRejected(t *testing.T) {
	for _, partner := range []string{"kushiro", "aarhus"} {
		whole := bytes.TrimRight(example(t, partner), "\n")
		for cut := range whole {
			if set, _ := rules.Parse(partner, whole[:cut]); set != nil {
				t.Fatalf("%s cut to %d of %d bytes was accepted", partner, cut, len(whole))
			}
		}
	}
}

func TestInvalidRulesAreRejectedWithLineAndRemedy(t *testing.T) {
	key := " key=sha256:" + strings.Repeat("ab", 32) + " "
	for _, c := range []struct {
		name, body, message string
		line                int
	}{
		{"no comment", "objective slowdown", "no comment", 2},
		{"comment without who", "objective slowdown # : because", "no comment", 2},
		{"other partner's organisation", "organisation aarhus/joiners" + key + "# a: b", "not of partner", 2},
		{"no key", "organisation kushiro/a # a: b", "has no key", 2},
		{"key itself", "organisation kushiro/a key=secret # a: b", "not a SHA-256", 2},
		{"one key, two organisations", "organisation kushiro/a" + key + "# a: b\norganisation kushiro/b" + key + "# a: b", "already given in line 2", 3},
		{"negative rate", "organisation kushiro/a" + key + "rate=-1 # a: b", "no such number", 2},
		{"rate is no number", "organisation kushiro/a" + key + "rate=NaN # a: b", "no such number", 2},
		{"two limits", "time-limit short 1s # a: b\ntime-limit short 2s # a: b", "already given in line 2", 3},
		{"limits cross", "time-limit short 5m # a: b\ntime-limit medium 1m # a: b", "below that of class short", 3},
		{"unknown kind", "allow all # a: b", "unknown kind", 2},
		{"bad pattern", "model assistant targets=[ # a: b", "no list of patterns", 2},
		{"contradiction", "service s POST /x once # a: b\nservice s POST /x repeatable # a: b", "already given in line 2", 3},
		{"control character", "objective \x00slowdown # a: b", "control character", 2},
		{"wrong encoding", "objective slowdown # J\xf8rgen: b", "not valid UTF-8", 2},
	} {
		file := "partner kushiro\n" + c.body + "\nend " + string(rune('1'+strings.Count(c.body, "\n"))) + "\n"
		set, faults := rules.Parse("kushiro", []byte(file))
		if set != nil || len(faults) == 0 {
			t.Errorf("%s: accepted", c.name)
			continue
		}
		f := faults[0]
		if f.Line != c.line || !strings.Contains(f.Message, c.message) || f.Remedy == "" {
			t.Errorf("%s: got %+v", c.name, f)
		}
	}
}

func TestInvalidHeaderOrEndLineIsRejected(t *testing.T) {
	rule := "objective slowdown # a: b\n"
	for name, file := range map[string]string{
		"empty":             " \n",
		"no header":         rule + "end 1\n",
		"no rule":           "partner kushiro\nend 0\n",
		"wrong count":       "partner kushiro\n" + rule + "end 2\n",
		"rule after end":    "partner kushiro\nend 0\n" + rule,
		"of other partner":  "partner aarhus\n" + rule + "end 1\n",
		"two headers":       "partner kushiro\npartner kushiro\n" + rule + "end 1\n",
		"too large":         "partner kushiro\n" + rule + "# " + strings.Repeat("x", rules.MaxFileBytes) + "\nend 1\n",
		"byte order mark":   "\uFEFFpartner kushiro\n" + rule + "end 1\n",
		"no end line count": "partner kushiro\n" + rule + "end\n",
	} {
		if set, faults := rules.Parse("kushiro", []byte(file)); set != nil || len(faults) == 0 {
			t.Errorf("%s: accepted", name)
		}
	}
}

// The file of one partner must not affect the calls of another partner.
func TestPartnersCannotOverrideEachOther(t *testing.T) {
	aarhus := parse(t, "aarhus")
	alone := rules.NewBook(aarhus)
	rapid.Check(t, func(t *rapid.T) {
		file := "partner kushiro\n"
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{
			"organisation kushiro/copy key=sha256:" + aarhus.Organisations[0].KeyHashes[0] + " weight=900 # a: b\n",
			"objective first-token # a: b\n",
			"time-limit short 10ms # a: b\n",
			"model adhesive targets=nothing # a: b\n",
			"service orders * /** repeatable # a: b\n",
		}), 1, 5).Draw(t, "lines")
		for _, l := range lines {
			file += l
		}
		set, _ := rules.Parse("kushiro", []byte(file+"end "+string(rune('0'+len(lines)))))
		if set == nil {
			return // a duplicate
		}
		both := rules.NewBook(aarhus, set)
		g := gomega.NewWithT(t)
		want, _ := alone.OrganisationByKey("aarhus.example-joiners")
		got, _ := both.OrganisationByKey("aarhus.example-joiners")
		g.Expect(got).To(gomega.Equal(want))
		g.Expect(both.Objective("aarhus")).To(gomega.Equal(alone.Objective("aarhus")))
		g.Expect(both.LimitFor("aarhus", rules.ClassShort)).To(gomega.Equal(alone.LimitFor("aarhus", rules.ClassShort)))
		g.Expect(both.ServedBy("aarhus", "adhesive", "north-engine-1")).To(gomega.BeTrue())
		repeatable, _ := both.RetryPolicy("aarhus", "orders", "PUT", "/samples/oak")
		g.Expect(repeatable).To(gomega.BeFalse())
	})
}

// A file that Parse accepts is complete: it has organisations of its own partner
// only, and is invalid without its last line.
func FuzzParse(f *testing.F) {
	for _, partner := range []string{"kushiro", "aarhus"} {
		f.Add(example(f, partner))
	}
	f.Fuzz(func(t *testing.T, file []byte) {
		set, faults := rules.Parse("kushiro", file)
		if (set == nil) == (len(faults) == 0) {
			t.Fatalf("a set and faults, or neither: %v", faults)
		}
		for _, fault := range faults {
			if fault.Message == "" || fault.Remedy == "" || fault.Line > 1+bytes.Count(file, []byte{'\n'}) {
				t.Fatalf("incomplete fault %+v", fault)
			}
		}
		if set == nil {
			return
		}
		for _, o := range set.Organisations {
			if o.Partner() != "kushiro" || len(o.KeyHashes) == 0 || o.Weight <= 0 {
				t.Fatalf("bad organisation %+v", o)
			}
		}
		trimmed := bytes.TrimSpace(file)
		if cut, _ := rules.Parse("kushiro", trimmed[:max(0, bytes.LastIndexByte(trimmed, '\n'))]); cut != nil && bytes.Contains(trimmed, []byte("\nend")) && bytes.HasPrefix(trimmed[bytes.LastIndexByte(trimmed, '\n')+1:], []byte("end")) {
			t.Fatal("accepted without its end line")
		}
	})
}
