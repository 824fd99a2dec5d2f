package caller

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jackc/pgx/v5/pgproto3"
)

var _ = Describe("translation of a batch", func() {
	var statements *preparedStatements
	parse := &pgproto3.Parse{Name: "s1", Query: "SELECT 1"}

	BeforeEach(func() { statements = newPreparedStatements() })

	It("sends the Parse of a statement ahead of a later use and hides its answer", func() {
		_, errResponse := translate(statements, []pgproto3.FrontendMessage{parse, &pgproto3.Sync{}})
		Expect(errResponse).To(BeNil())
		steps, errResponse := translate(statements, []pgproto3.FrontendMessage{
			&pgproto3.Bind{PreparedStatement: "s1"}, &pgproto3.Execute{}, &pgproto3.Sync{},
		})
		Expect(errResponse).To(BeNil())
		Expect(steps).To(HaveLen(4))
		Expect(steps[0].hidden).To(BeTrue())
		Expect(steps[0].message.(*pgproto3.Parse).Name).To(Equal(steps[1].message.(*pgproto3.Bind).PreparedStatement))
	})

	It("gives the same text the same name in two sessions, and other texts other names", func() {
		same := &pgproto3.Parse{Name: "other", Query: "SELECT 1"}
		different := &pgproto3.Parse{Name: "s1", Query: "SELECT 2"}
		Expect(sharedName(same)).To(Equal(sharedName(parse)))
		Expect(sharedName(different)).NotTo(Equal(sharedName(parse)))
	})

	// Whoever prepares the second text would otherwise make sessions that prepared the first one,
	// also those of other client accounts, run the second.
	It("gives other names to a text that was constructed to have the same xxhash, and to other types", func() {
		names := map[string]bool{}
		for _, p := range []*pgproto3.Parse{
			{Name: "s", Query: "INSERT INTO ledger (id) VALUES ('order 4711 of 2026-12-06, three boxes of paper, paid in advance, 8c41')"},
			{Name: "s", Query: "INSERT INTO ledger (id) VALUES ('order 4j1yzbplx026-12-06, three boxes obxNJzY5- paid in advance, 8c41')"},
			{Name: "s", Query: "SELECT 1/23"},
			{Name: "s", Query: "SELECT 1", ParameterOIDs: []uint32{23}},
			{Name: "s", Query: "SELECT 1", ParameterOIDs: []uint32{2, 3}},
			{Name: "s", Query: "SELECT 1", ParameterOIDs: []uint32{0x20202020}},
			{Name: "s", Query: "SELECT 1    "},
		} {
			names[sharedName(p)] = true
			Expect(sharedName(p)).To(MatchRegexp("^pf_[0-9A-Za-z_-]{1,60}$"), "an identifier of PostgreSQL has at most 63 bytes")
		}
		Expect(names).To(HaveLen(7))
	})

	It("uses the unnamed statement of an earlier batch", func() {
		_, errResponse := translate(statements, []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "SELECT 3"}, &pgproto3.Sync{}})
		Expect(errResponse).To(BeNil())
		steps, errResponse := translate(statements, []pgproto3.FrontendMessage{&pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}})
		Expect(errResponse).To(BeNil())
		Expect(steps[0].message.(*pgproto3.Parse).Query).To(Equal("SELECT 3"))
	})

	for name, batch := range map[string][]pgproto3.FrontendMessage{
		"bind of an unknown statement":     {&pgproto3.Bind{PreparedStatement: "nope"}},
		"describe of an unknown statement": {&pgproto3.Describe{ObjectType: 'S', Name: "nope"}},
		"two statements of one name":       {parse, parse},
	} {
		It("rejects: "+name, func() {
			_, errResponse := translate(statements, batch)
			Expect(errResponse).NotTo(BeNil())
		})
	}
})
