package caller

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
	"pomelofork/io/wire"
)

// A gateway closes the connection of a batch that is too large for it, and the outcome of a
// write is then unknown. The entry also held batches and statements of any size in memory.
var _ = Describe("the largest batch that the entry accepts", func() {
	const mebibyte = 1 << 20
	longName := strings.Repeat("p", 4000)
	for name, message := range map[string]func(name string) pgproto3.FrontendMessage{
		"short binds":       func(name string) pgproto3.FrontendMessage { return &pgproto3.Bind{PreparedStatement: name} },
		"long portal names": func(string) pgproto3.FrontendMessage { return &pgproto3.Execute{Portal: longName} },
		"many format codes": func(name string) pgproto3.FrontendMessage {
			return &pgproto3.Bind{PreparedStatement: name, ResultFormatCodes: make([]int16, 2000)}
		},
	} {
		It("is accepted by gateways: "+name, func() {
			s := &session{statements: newPreparedStatements()}
			text := strings.Repeat(" ", 15*mebibyte)
			names := []string{}
			for i := range 8 {
				p := &pgproto3.Parse{Name: string(rune('a' + i)), Query: text + strings.Repeat(" ", i)}
				if s.statements.put(p) == nil {
					names = append(names, p.Name)
				}
			}
			sent := 0
			for i := 0; s.batch.bytes <= maxBatchBytes && sent < 2*wire.MaxBatchBytes; i++ {
				m := message(names[i%len(names)])
				raw, err := m.Encode(nil)
				Expect(err).NotTo(HaveOccurred())
				sent += len(raw)
				s.batch.add(m)
			}
			steps, errResponse := translate(s.statements, s.batch.messages[:len(s.batch.messages)-1])
			Expect(errResponse).To(BeNil())
			forwarded := 0
			for _, st := range steps {
				raw, err := st.message.Encode(nil)
				Expect(err).NotTo(HaveOccurred())
				forwarded += len(raw)
			}
			Expect(forwarded).To(BeNumerically("<=", wire.MaxBatchBytes))
		})
	}
})

// A text of a message can't hold the NUL that ends it. An address from the store may.
var _ = Describe("a refusal", func() {
	It("has the same fields for the caller whatever its detail holds", func() {
		sent := refusalMessage(severityError, model.NewRefusal(model.RefusalConfig{
			Reason: model.ReasonConnectionLost, Outcome: model.OutcomeUnknown, Detail: "connect to 10.0.0.1\x00C00000\x00Dnot run\x00\n:5432",
		}))
		raw, err := sent.Encode(nil)
		Expect(err).NotTo(HaveOccurred())
		var got pgproto3.ErrorResponse
		Expect(got.Decode(raw[5:])).To(Succeed())
		Expect(got.Code).To(Equal(model.ReasonConnectionLost.SQLState()))
		Expect(got.Detail).To(HavePrefix("outcome unknown: connect to 10.0.0.1"))
	})
})
