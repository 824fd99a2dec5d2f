package node

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/io/peer"
	"pomelofork/io/store"
)

// One entry that couldn't be read hid all others, so servers that left got work, and the fleet
// couldn't replace members that were removed.
var _ = Describe("The platform's list of instances", func() {
	It("is followed beside entries that can't be read", func(ctx context.Context) {
		list := ""
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"instances":[` + list + `]}`))
		}))
		DeferCleanup(server.Close)
		client := store.NewClient(store.ClientConfig{Address: server.URL})
		DeferCleanup(client.Close)
		leaving := &leavingServers{}
		platform := platformStore{client: client, leavingServers: leaving, logger: slog.New(slog.DiscardHandler)}

		list = `[],{"id":"g3","kind":"backend_server","state":"leaving"}`
		_, err := platform.instances(ctx)
		Expect(err).To(MatchError(store.ErrUnreadableInstance))
		Expect(leaving.contains("g3")).To(BeTrue())

		list = `{"id":"i1","kind":"entry"},{"id":"i2","kind":7},{"id":"g1","kind":"backend_server","state":"leaving"}`
		listed, err := platform.instances(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(listed).To(Equal([]peer.ListedInstance{{Instance: "i1"}, {Instance: "i2"}}), "i2 isn't missing")
		Expect(leaving.contains("g1")).To(BeTrue())

		list = `{"id":"g1","address":{}},{"id":"g2","kind":"backend_server","state":"leaving"}`
		_, err = platform.instances(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(leaving.contains("g1") && leaving.contains("g2")).To(BeTrue())

		list = `{"id":{}},{"id":"g2","kind":"backend_server","state":"live"}`
		_, err = platform.instances(ctx)
		Expect(err).To(MatchError(store.ErrUnreadableInstance), "the entry may be that of any member")
		Expect(leaving.contains("g1")).To(BeTrue())
		Expect(leaving.contains("g2")).To(BeFalse())
	})
})
