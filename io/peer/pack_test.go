package peer_test

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/io/peer"
)

var _ = Describe("a packed document", func() {
	It("is smaller and reads back", func() {
		document := bytes.Repeat([]byte(`{"id": "straw-ledger"}`), 1000)
		packed, err := peer.Pack(document)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(packed)).To(BeNumerically("<", len(document)/10))
		Expect(peer.Unpack(packed)).To(Equal(document))
	})

	It("is refused when broken or larger than the store allows", func() {
		_, err := peer.Unpack([]byte("no gzip"))
		Expect(err).To(HaveOccurred())
		packed, err := peer.Pack(make([]byte, 2<<20))
		Expect(err).NotTo(HaveOccurred())
		_, err = peer.Unpack(packed)
		Expect(err).To(MatchError(ContainSubstring("more than")))
	})
})
