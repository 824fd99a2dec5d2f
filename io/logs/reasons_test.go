package logs_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/io/logs"
)

// answerLine returns a log line that reports an answer at a second.
func answerLine(second, message, account, code, reason string, late string) string {
	return `  12.3 i {"time":"2026-04-05T09:29:` + second + `Z","msg":"` + message + `","self":"i","account":"` + account + `","code":"` + code + `","reason":"` + reason + `","late":` + late + "}\n"
}

var _ = Describe("Reasons", func() {
	first := answerLine("10.1", "statement answered", "a", "done", "", "false") +
		answerLine("10.2", "statement answered", "a", "done", "", "true") +
		answerLine("11.3", "operation refused", "b", "busy", "rate of the account exceeded; retry in 3 ms", "false")
	second := answerLine("11.4", "statement answered", "b", "busy", "no server can take the statement; retry in 9 ms", "false") +
		answerLine("12.0", "statement answered", "b", "failed", "strange", "false") + `{"time":"2026-04-05T09:29:13Z","msg":"started"}` + "\n"

	for name, c := range map[string]struct {
		by   logs.By
		want []string
	}{
		"by second": {logs.BySecond, []string{
			"second done late no_token no_issuer no_server queue connection configuration key other",
			"0 1 1 0 0 0 0 0 0 0 0", "1 0 0 1 0 1 0 0 0 0 1", "sum 1 1 1 0 1 0 0 0 0 1",
		}},
		"by account":  {logs.ByAccount, []string{"a 1 1 0 0 0 0 0 0 0 0", "b 0 0 1 0 1 0 0 0 0 1"}},
		"by instance": {logs.ByInstance, []string{"i 1 1 1 0 1 0 0 0 0 1"}},
		"by server":   {logs.ByServer, []string{"- 1 1 1 0 1 0 0 0 0 1"}},
	} {
		It("counts the answers of all logs "+name, func() {
			var out strings.Builder
			Expect(logs.Reasons(&out, c.by, strings.NewReader(first), strings.NewReader(second))).To(Succeed())
			var lines []string
			for l := range strings.Lines(out.String()) {
				lines = append(lines, strings.Join(strings.Fields(l), " "))
			}
			Expect(lines).To(ContainElements(c.want))
		})
	}

	It("keeps a row in its line and its columns, whatever the name of the account", func() {
		var out strings.Builder
		Expect(logs.Reasons(&out, logs.ByAccount, strings.NewReader(answerLine("10.1", "statement answered", `a\tb\n9`, "done", "", "false")))).To(Succeed())
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		Expect(lines).To(HaveLen(3))
		Expect(strings.Join(strings.Fields(lines[1]), " ")).To(Equal("a b 9 1 0 0 0 0 0 0 0 0 0"))
	})

	It("shows what it can read of a log that is cut, and says what is wrong", func() {
		var out strings.Builder
		err := logs.Reasons(&out, logs.ByAccount, strings.NewReader(first+strings.Repeat("x", 2<<20)), strings.NewReader(second[:len(second)/2]))
		Expect(err).To(MatchError(ContainSubstring("log 1 can't be read to its end")))
		Expect(out.String()).To(ContainSubstring("sum"))
	})

	for name, text := range map[string]string{"empty": "", "of another program": "hello\n{\"a\":1}\n"} {
		It("reports a log that is "+name, func() {
			Expect(logs.Reasons(&strings.Builder{}, logs.BySecond, strings.NewReader(text))).To(MatchError(logs.ErrNoAnswers))
		})
	}

	It("refuses other rows", func() {
		Expect(logs.Reasons(&strings.Builder{}, "moon")).NotTo(Succeed())
	})
})
