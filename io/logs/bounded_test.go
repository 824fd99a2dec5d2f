package logs_test

import (
	"encoding/json"
	"log/slog"
	"strings"
	"unicode/utf8"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/io/logs"
)

// A caller's request with an identifier of 600 KiB was missing in the log, and one of 400 KiB pushed out the
// lines of others.
var _ = Describe("Bounded", func() {
	many := make([]string, 1000)
	for i := range many {
		many[i] = "right, [" + strings.Repeat("x", i)
	}
	for name, text := range map[string]string{
		"letters": strings.Repeat("x", 1<<20), "quotes": strings.Repeat(`"`, 1<<20), "backslashes": strings.Repeat(`\`, 1<<20-1),
		"control bytes": strings.Repeat("\x01\n", 1<<19), "characters": strings.Repeat("aé世", 1<<18), "bytes that are no characters": strings.Repeat("\xff\xc3", 1<<19),
		"brackets": strings.Repeat("],[}{", 1<<18), "line separators": strings.Repeat("\u2028", 1<<18), "markup": strings.Repeat("<&>", 1<<18),
	} {
		It("keeps each line short and readable, whatever it is given of "+name, func() {
			out := &recorder{}
			log := slog.New(slog.NewJSONHandler(logs.NewBounded(out), nil)).With(slog.String("self", "i"))
			log.Info("one", slog.String("request", text), slog.Any("names", many), slog.Any("nested", []any{map[string]any{"a": []int{1, 2}, "b": text}, text}), slog.Int("n", 7))
			Expect(out.all()).To(HaveLen(1))
			line := out.all()[0]
			Expect(len(line)).To(BeNumerically("<=", 4096))
			Expect(line).To(HaveSuffix("}\n"))
			Expect(utf8.ValidString(line)).To(BeTrue())
			var fields map[string]any
			Expect(json.Unmarshal([]byte(line), &fields)).To(Succeed())
			Expect(fields).To(And(HaveKeyWithValue("msg", "one"), HaveKeyWithValue("self", "i"), HaveKeyWithValue("n", 7.0), HaveKey("names"), HaveKey("nested"), HaveKey("time")))
			Expect(fields["request"]).NotTo(BeEmpty())
		})
	}

	It("reports a line with too many texts by its begin", func() {
		out := &recorder{}
		var attrs []any
		for range 1000 {
			attrs = append(attrs, slog.String("key", "value"))
		}
		slog.New(slog.NewJSONHandler(logs.NewBounded(out), nil)).Info("one", attrs...)
		Expect(len(out.all()[0])).To(BeNumerically("<=", 4096))
		var fields map[string]any
		Expect(json.Unmarshal([]byte(out.all()[0]), &fields)).To(Succeed())
		Expect(fields).To(HaveKeyWithValue("begin", ContainSubstring(`"msg":"one"`)))
	})

	It("leaves other lines as they are", func() {
		out := &recorder{}
		line := []byte(`{"msg":"` + strings.Repeat("x", 4000) + "\"}\n")
		Expect(logs.NewBounded(out).Write(line)).To(Equal(len(line)))
		Expect(out.all()).To(Equal([]string{string(line)}))
	})
})
