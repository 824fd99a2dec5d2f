package relay

import (
	"math"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/stmt"
	"pomelofork/io/store"
)

// message is the request or the response of a call.
type message interface {
	// fields passes all fields to a coder, which encodes or sets them. A field that is added gets a new
	// number and goes to the end, and its comment says what is assumed if a peer doesn't send it.
	fields(c *coder)
}

// RunRequest is the argument of a call that runs an order.
type RunRequest struct {
	// Order is the order. Its times count from when the peer receives it.
	Order stmt.Order
	// sent says that the order may have reached the peer. It isn't encoded.
	sent bool
	// gone is closed when the connection ends on which the order arrived. It isn't encoded.
	gone <-chan struct{}
}

// Gone returns a channel that is closed when the sender of a received order can't get the answer any more. That is
// before ServerConfig.Disconnected is called.
func (m *RunRequest) Gone() <-chan struct{} { return m.gone }

// RunResponse is the result of Run.
type RunResponse struct {
	// Result is the order's result.
	Result stmt.Result
}

// DrawRequest asks for tokens of a client account.
type DrawRequest struct {
	// Account is the account.
	Account model.AccountID
	// Mint is the number of the token issuer, among those that share the account's rate.
	Mint int
	// Need is the number of tokens that operations wait for.
	Need int
	// Ahead is the number of further tokens to prefetch for later operations.
	Ahead int
	// MaxWait is the longest time for which the operations can wait for the tokens.
	MaxWait time.Duration
}

// DrawResponse is the result of Draw.
type DrawResponse struct {
	// Holds says that the peer holds the right to issue these tokens. Otherwise the other
	// fields are zero.
	Holds bool
	// Tokens is the number of tokens granted.
	Tokens int
	// Delay is the time after which the tokens may be used.
	Delay time.Duration
	// RetryAfter is the time after which to ask again if no tokens were granted.
	RetryAfter time.Duration
}

// LookRequest asks for a service's newest point.
type LookRequest struct {
	// Service is the service, or empty for the configuration age only.
	Service model.ServiceID
	// Wait is the longest time for which the peer waits for a point if it knows none. Builds that don't
	// know it answer at once.
	Wait time.Duration
}

// LookResponse is the result of Look.
type LookResponse struct {
	// ConfigAge is the time since the peer last had confirmation that its configuration is
	// the newest. Negative means never.
	ConfigAge time.Duration
	// Point is a point in the log of the service that covers every commit acknowledged
	// longer ago than Age. Zero means that the peer knows none.
	Point model.Point
	// Age belongs to Point. It counts back from when the peer answered.
	Age time.Duration
}

// FollowRequest asks for changes of the store's content.
type FollowRequest struct {
	// After is the revision of the store up to which the caller knows all changes.
	After uint64
	// All asks for the whole content instead of the changes after After.
	All bool
	// Wait is the longest time for which the peer waits for a change before it answers.
	Wait time.Duration
	// CheckOnly asks only for the revision and the age of the peer's copy, without the changes. Builds
	// before db51426 don't know it and send the changes too.
	CheckOnly bool
}

// FollowResponse is the result of Follow.
type FollowResponse struct {
	// Known says that the peer has a copy of the store's content. Otherwise the other
	// fields are zero.
	Known bool
	// All says that Entries is the whole content and not only the changes.
	All bool
	// Revision is the revision of the store up to which the peer knows all changes.
	Revision uint64
	// Age is the time since the peer last had confirmation that it knew all changes.
	Age time.Duration
	// Entries are the changes after the requested revision, or the whole content.
	Entries []store.Entry
}

func (m *FollowRequest) fields(c *coder) {
	unsigned(c, 1, &m.After)
	c.flag(2, &m.All)
	signed(c, 3, &m.Wait)
	c.laterFields()
	c.flag(4, &m.CheckOnly)
}

func (m *FollowResponse) fields(c *coder) {
	c.flag(1, &m.Known)
	c.flag(2, &m.All)
	unsigned(c, 3, &m.Revision)
	signed(c, 4, &m.Age)
	list(c, 5, &m.Entries, func(c *coder, e *store.Entry) {
		text(c, 1, &e.Key)
		c.bytes(2, &e.Value)
		unsigned(c, 3, &e.Revision)
		unsigned(c, 4, &e.Lease)
		c.flag(5, &e.Removed)
	})
}

func (m *RunRequest) fields(c *coder) {
	o := &m.Order
	unsigned(c, 1, &o.Entry)
	unsigned(c, 2, &o.Unit)
	unsigned(c, 3, &o.Begin)
	c.flag(4, &o.Prove)
	c.point(5, &o.After)
	text(c, 7, &o.Server)
	unsigned(c, 8, &o.Epoch)
	text(c, 9, &o.Account)
	text(c, 10, &o.Class)
	signed(c, 11, &o.Priority)
	signed(c, 12, &o.Target)
	signed(c, 13, &o.Timeout)
	list(c, 14, &o.Values, func(c *coder, v *stmt.Value) {
		text(c, 1, &v.Name)
		text(c, 2, &v.Content)
	})
	text(c, 15, &o.Prepared.Shape)
	c.flag(16, &o.Prepared.Writes)
	text(c, 17, &o.Statement.ID)
	text(c, 18, &o.Statement.Text)
	unsigned(c, 19, &o.Statement.Kind)
	text(c, 20, &o.Statement.Name)
	text(c, 21, &o.Statement.Rest)
	c.flag(22, &o.Statement.Writes)
	c.laterFields()
	texts(c, 23, &o.Homes)
}

func (m *RunResponse) fields(c *coder) {
	r := &m.Result
	texts(c, 1, &r.Answer.Rows)
	text(c, 2, &r.Answer.Digest)
	unsigned(c, 3, &r.Answer.Code)
	text(c, 4, &r.Answer.Text)
	unsigned(c, 5, &r.Answer.State)
	c.point(6, &r.Answer.Point)
	c.flag(8, &r.NotSent)
	signed(c, 9, &r.RetryAfter)
	signed(c, 10, &r.Wait)
	c.point(11, &r.Latest)
	signed(c, 13, &r.LatestAge)
	c.laterFields()
	list(c, 14, &r.Waits, func(c *coder, w *stmt.PriorityWait) {
		signed(c, 1, &w.Priority)
		signed(c, 2, &w.Wait)
	})
	if c.form >= formTagged {
		// In thousandths. Without it, connections count as plentiful.
		share := c.varint(15, uint64(math.Round(1000*min(max(r.OpeningShare, 0), 1))))
		if c.decoding {
			r.OpeningShare = min(float64(share)/1000, 1)
		}
	}
}

func (m *DrawRequest) fields(c *coder) {
	text(c, 1, &m.Account)
	signed(c, 2, &m.Mint)
	signed(c, 3, &m.Need)
	signed(c, 4, &m.Ahead)
	signed(c, 5, &m.MaxWait)
}

func (m *DrawResponse) fields(c *coder) {
	c.flag(1, &m.Holds)
	signed(c, 2, &m.Tokens)
	signed(c, 3, &m.Delay)
	signed(c, 4, &m.RetryAfter)
}

func (m *LookRequest) fields(c *coder) {
	text(c, 1, &m.Service)
	if c.form >= formTagged {
		signed(c, 2, &m.Wait)
	}
}

func (m *LookResponse) fields(c *coder) {
	c.point(1, &m.Point)
	signed(c, 3, &m.Age)
	signed(c, 4, &m.ConfigAge)
}
