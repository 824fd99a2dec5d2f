package proxy

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/io/store"
)

// A writer of the store that used a new key for each large value filled the memory of the instances which others
// follow.
var _ = Describe("Encoded values", func() {
	It("are kept of a bounded number of keys", func() {
		v := newEncodedValues()
		for i := range 1000 {
			entries := v.encode([]store.Entry{{Key: fmt.Sprint("k", i), Value: make([]byte, 2*minPackedSize), Revision: 1}})
			Expect(decode(entries)).To(Succeed())
			Expect(entries[0].Value).To(HaveLen(2 * minPackedSize))
		}
		Expect(len(v.byKey)).To(BeNumerically("<=", maxEncoded))
	})
})
