package relay

import "pomelofork/core/model"

// TakeBucketsRequest asks for the token buckets of a right that the peer has held and that the caller
// holds now.
type TakeBucketsRequest struct {
	// Right is the name of the right.
	Right string
}

// TakeBucketsResponse is the result of TakeBuckets. The peer has forgotten the buckets.
type TakeBucketsResponse struct {
	Levels []BucketLevel
}

// BucketLevel is the number of tokens that were left in an account's bucket when it was last used.
type BucketLevel struct {
	Account model.AccountID
	Tokens  int
}

func (m *TakeBucketsRequest) encode(w *writer) { w.text(m.Right) }

func (m *TakeBucketsRequest) decode(r *reader) { m.Right = r.text() }

func (m *TakeBucketsResponse) encode(w *writer) {
	w.uint(uint64(len(m.Levels)))
	for _, l := range m.Levels {
		w.text(string(l.Account))
		w.int(int64(l.Tokens))
	}
}

func (m *TakeBucketsResponse) decode(r *reader) {
	m.Levels = nil
	for n := r.count(); n > 0; n-- {
		m.Levels = append(m.Levels, BucketLevel{Account: model.AccountID(r.text()), Tokens: int(r.int())})
	}
}
