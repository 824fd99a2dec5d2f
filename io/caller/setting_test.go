package caller

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/emul/seed"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller", seed.Suite())
}

var _ = Describe("statements that the entry answers", func() {
	for name, c := range map[string]struct {
		text    string
		want    localStatement
		isLocal bool
	}{
		"set with =":                {"SET pomelofork.route = 'stock-check'", localStatement{name: "route", value: "stock-check"}, true},
		"set with to":               {"set pomelofork.timeout_ms to 250;", localStatement{name: "timeout_ms", value: "250"}, true},
		"set with a quote":          {"SET pomelofork.request_id = 'it''s'", localStatement{name: "request_id", value: "it's"}, true},
		"set local":                 {"SET LOCAL pomelofork.route='a'", localStatement{name: "route", value: "a"}, true},
		"show":                      {"SHOW pomelofork.token", localStatement{name: "token", show: true}, true},
		"discard all":               {"DISCARD ALL;", localStatement{name: "DISCARD", discard: true}, true},
		"another setting":           {"SET search_path = 'pomelofork.x'", localStatement{}, false},
		"setting name in a literal": {"SELECT 'pomelofork.route'", localStatement{}, false},
		"set and a statement":       {"SET pomelofork.route = 'a'; SELECT 'b'", localStatement{}, false},
		"two statements in one":     {"SHOW pomelofork.token; SELECT 1", localStatement{}, false},
	} {
		It("parses: "+name, func() {
			got, isLocal := parseLocalStatement(c.text)
			Expect(isLocal).To(Equal(c.isLocal))
			Expect(got).To(Equal(c.want))
		})
	}

	It("finds settings in the startup options and among the other startup parameters", func() {
		got := startupSettings(map[string]string{
			"options":          `-c pomelofork.route=stock\ check -c work_mem=1MB`,
			"pomelofork.token": "new",
		})
		Expect(got).To(Equal(map[string]string{"route": "stock check", "token": "new"}))
	})

	// Two ids became one, so the second request was answered from the first one's record.
	It("keeps request ids apart in the startup options", func() {
		for text, want := range map[string]string{
			`-c pomelofork.request_id=a\\b`: `a\b`, `-c pomelofork.request_id=a\b`: "ab",
			`-cpomelofork.request_id=a\ b`: "a b", `--pomelofork.request_id=7`: "7",
			`-c search_path=x\ -c\ pomelofork.request_id=7`: "", `--search_path=-cpomelofork.request_id=7`: "",
		} {
			Expect(startupSettings(map[string]string{"options": text})["request_id"]).To(Equal(want), text)
		}
	})

	It("refuses a request id that isn't UTF-8, which another instance would read as another one", func() {
		Expect((&session{}).set("request_id", "a\xff")).To(HaveField("Code", "22023"))
		Expect((&session{}).set("request_id", "7 – ä")).To(BeNil())
	})

	for name, value := range map[string]string{"zero": "0", "negative": "-1", "not a number": "soon", "too long": "99999999", "wraps to less than 1 ms": "18446744073710"} {
		It("rejects a timeout: "+name, func() {
			_, err := parseTimeout(value)
			Expect(err).To(MatchError(ContainSubstring("timeout_ms")))
		})
	}
})
