package caller

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jackc/pgx/v5"

	"pomelofork/core/conf"
	"pomelofork/core/model"
)

// Guards against what a session looked up of its route before the configuration changed.
var _ = Describe("a session whose route is changed by the configuration", func() {
	var ts *testServer
	BeforeEach(func() { ts = newTestServer() })

	// setRoute has a route lead to a service, and charges the public one to an account.
	setRoute := func(route model.RouteID, service model.ServiceID, charged model.AccountID) {
		ts.directory.set(testDocument(func(d *conf.Document) {
			orders := d.Services[0]
			orders.ID, orders.StatementTimeoutMs = "orders", 60_000
			orders.Servers = []conf.ServerEntry{{ID: "orders-0", Address: "127.0.0.1:5433", FailureDomain: "a", Slots: 2, Connections: 16}}
			d.Services = append(d.Services, orders)
			for i := range d.Routes {
				if d.Routes[i].ID == route {
					d.Routes[i].Service = service
				}
				if d.Routes[i].OpenToAll {
					d.Routes[i].ChargedTo = charged
				}
			}
		}))
	}

	// Commits at one service were recorded for the other, and reads there waited for points of another log.
	It("records its commits for the service where they were made", func() {
		conn := ts.connectAnn(map[string]string{"token": "new", "route": "post"})
		write := func(service model.ServiceID, pos model.Position) {
			setRoute("post", service, "bob")
			ts.gateway.point = model.NewPoint(2, pos)
			_, err := conn.Exec(context.Background(), "UPDATE x", pgx.QueryExecModeSimpleProtocol)
			Expect(err).NotTo(HaveOccurred())
			Expect(ts.gateway.last().Service).To(Equal(service))
		}
		write("stock", 7)
		write("orders", 900)
		write("stock", 8)
		Expect(conn.PgConn().ParameterStatus("pomelofork.token")).To(Equal("*=0/0,orders=2/900,stock=2/8"))
		Expect(ts.gateway.last().Token).To(Equal("2/7"))
		setRoute("aged", "orders", "bob")
		_, err := conn.Exec(context.Background(), "SET pomelofork.route = 'aged'", pgx.QueryExecModeSimpleProtocol)
		Expect(err).NotTo(HaveOccurred())
		Expect(query(conn, "SELECT 1")).To(Equal("SELECT 1"))
		Expect(ts.gateway.last().Token).To(Equal("2/900"))
		Expect(ts.gateway.last().Remaining.Seconds()).To(BeNumerically(">", 5), "the statement timeout of the present service")
	})

	It("is charged to the account of the present route if it has none of its own", func() {
		conn, err := ts.connect("nobody", "", map[string]string{"route": "public"})
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close(context.Background()) }()
		for _, account := range []model.AccountID{"bob", "ann", "bob"} {
			setRoute("public", "stock", account)
			Expect(query(conn, "SELECT 1")).To(Equal("SELECT 1"))
			Expect(ts.gateway.last().Account).To(Equal(account))
		}
	})
})
