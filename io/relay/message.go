package relay

import (
	"time"

	"pomelofork/core/model"
	"pomelofork/core/stmt"
	"pomelofork/io/store"
)

// message is the request or the response of a call.
type message interface {
	// encode appends the message to w.
	encode(w *writer)
	// decode sets all fields from what encode wrote. The reader keeps an error.
	decode(r *reader)
}

// RunRequest is the argument of a call that runs an order.
type RunRequest struct {
	// Order is the order. Its times count from when the peer receives it.
	Order stmt.Order
	// sent says that the order may have reached the peer. It isn't encoded.
	sent bool
}

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
	// Patience is the longest time for which the operations can wait for the tokens.
	Patience time.Duration
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
	// CheckOnly asks only for the revision and the age of the peer's copy, without the changes.
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

func (m *FollowRequest) encode(w *writer) {
	w.uint(m.After)
	w.bool(m.All)
	w.int(int64(m.Wait))
	w.bool(m.CheckOnly)
}

func (m *FollowRequest) decode(r *reader) {
	m.After = r.uint()
	m.All = r.bool()
	m.Wait = time.Duration(r.int())
	m.CheckOnly = r.bool()
}

func (m *FollowResponse) encode(w *writer) {
	w.bool(m.Known)
	w.bool(m.All)
	w.uint(m.Revision)
	w.int(int64(m.Age))
	w.uint(uint64(len(m.Entries)))
	for _, e := range m.Entries {
		w.text(e.Key)
		w.text(string(e.Value))
		w.uint(e.Revision)
		w.uint(uint64(e.Lease))
		w.bool(e.Removed)
	}
}

func (m *FollowResponse) decode(r *reader) {
	m.Known = r.bool()
	m.All = r.bool()
	m.Revision = r.uint()
	m.Age = time.Duration(r.int())
	m.Entries = nil
	for n := r.count(); n > 0; n-- {
		m.Entries = append(m.Entries, store.Entry{
			Key: r.text(), Value: []byte(r.text()), Revision: r.uint(), Lease: store.LeaseID(r.uint()), Removed: r.bool(),
		})
	}
}

func (m *RunRequest) encode(w *writer) {
	o := &m.Order
	w.uint(o.Entry)
	w.uint(o.Unit)
	w.uint(uint64(o.Begin))
	w.bool(o.Prove)
	w.point(o.After)
	w.text(string(o.Server))
	w.uint(o.Epoch)
	w.text(string(o.Account))
	w.text(o.Class)
	w.int(int64(o.Priority))
	w.int(int64(o.Target))
	w.int(int64(o.Timeout))
	w.uint(uint64(len(o.Values)))
	for _, v := range o.Values {
		w.text(v.Name)
		w.text(v.Content)
	}
	w.text(o.Prepared.Shape)
	w.bool(o.Prepared.Writes)
	w.text(o.Statement.ID)
	w.text(o.Statement.Text)
	w.uint(uint64(o.Statement.Kind))
	w.text(o.Statement.Name)
	w.text(o.Statement.Rest)
	w.bool(o.Statement.Writes)
	w.uint(uint64(len(o.Homes)))
	for _, region := range o.Homes {
		w.text(string(region))
	}
}

func (m *RunRequest) decode(r *reader) {
	o := &m.Order
	o.Entry = r.uint()
	o.Unit = r.uint()
	o.Begin = stmt.Op(r.uint())
	o.Prove = r.bool()
	o.After = r.point()
	o.Server = model.ServerID(r.text())
	o.Epoch = r.uint()
	o.Account = model.AccountID(r.text())
	o.Class = r.text()
	o.Priority = int(r.int())
	o.Target = time.Duration(r.int())
	o.Timeout = time.Duration(r.int())
	o.Values = nil
	for n := r.count(); n > 0; n-- {
		o.Values = append(o.Values, stmt.Value{Name: r.text(), Content: r.text()})
	}
	o.Prepared.Shape = r.text()
	o.Prepared.Writes = r.bool()
	o.Statement.ID = r.text()
	o.Statement.Text = r.text()
	o.Statement.Kind = stmt.Kind(r.uint())
	o.Statement.Name = r.text()
	o.Statement.Rest = r.text()
	o.Statement.Writes = r.bool()
	o.Homes = nil
	for n := r.count(); n > 0; n-- {
		o.Homes = append(o.Homes, model.Region(r.text()))
	}
}

func (m *RunResponse) encode(w *writer) {
	s := &m.Result
	w.uint(uint64(len(s.Answer.Rows)))
	for _, row := range s.Answer.Rows {
		w.text(row)
	}
	w.text(s.Answer.Digest)
	w.uint(uint64(s.Answer.Code))
	w.text(s.Answer.Text)
	w.uint(uint64(s.Answer.State))
	w.point(s.Answer.Point)
	w.bool(s.NotSent)
	w.int(int64(s.RetryAfter))
	w.int(int64(s.Wait))
	w.point(s.Latest)
	w.int(int64(s.LatestAge))
	w.uint(uint64(len(s.Waits)))
	for _, p := range s.Waits {
		w.int(int64(p.Priority))
		w.int(int64(p.Wait))
	}
}

func (m *RunResponse) decode(r *reader) {
	s := &m.Result
	s.Answer.Rows = nil
	for n := r.count(); n > 0; n-- {
		s.Answer.Rows = append(s.Answer.Rows, r.text())
	}
	s.Answer.Digest = r.text()
	s.Answer.Code = stmt.Code(r.uint())
	s.Answer.Text = r.text()
	s.Answer.State = stmt.State(r.uint())
	s.Answer.Point = r.point()
	s.NotSent = r.bool()
	s.RetryAfter = time.Duration(r.int())
	s.Wait = time.Duration(r.int())
	s.Latest = r.point()
	s.LatestAge = time.Duration(r.int())
	s.Waits = nil
	for n := r.count(); n > 0; n-- {
		s.Waits = append(s.Waits, stmt.PriorityWait{Priority: int(r.int()), Wait: time.Duration(r.int())})
	}
}

func (m *DrawRequest) encode(w *writer) {
	w.text(string(m.Account))
	w.int(int64(m.Mint))
	w.int(int64(m.Need))
	w.int(int64(m.Ahead))
	w.int(int64(m.Patience))
}

func (m *DrawRequest) decode(r *reader) {
	m.Account = model.AccountID(r.text())
	m.Mint = int(r.int())
	m.Need = int(r.int())
	m.Ahead = int(r.int())
	m.Patience = time.Duration(r.int())
}

func (m *DrawResponse) encode(w *writer) {
	w.bool(m.Holds)
	w.int(int64(m.Tokens))
	w.int(int64(m.Delay))
	w.int(int64(m.RetryAfter))
}

func (m *DrawResponse) decode(r *reader) {
	m.Holds = r.bool()
	m.Tokens = int(r.int())
	m.Delay = time.Duration(r.int())
	m.RetryAfter = time.Duration(r.int())
}

func (m *LookRequest) encode(w *writer) { w.text(string(m.Service)) }

func (m *LookRequest) decode(r *reader) { m.Service = model.ServiceID(r.text()) }

func (m *LookResponse) encode(w *writer) {
	w.point(m.Point)
	w.int(int64(m.Age))
	w.int(int64(m.ConfigAge))
}

func (m *LookResponse) decode(r *reader) {
	m.Point = r.point()
	m.Age = time.Duration(r.int())
	m.ConfigAge = time.Duration(r.int())
}
