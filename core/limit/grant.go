package limit

import "time"

// GrantID names one grant. It is a message: its fields are exported.
type GrantID struct {
	// Mint is unique to one holder's time with one share.
	Mint uint64
	// Seq counts the mint's grants.
	Seq uint64
}

// Report tells a mint what became of one of its grants.
type Report struct {
	// Grant is the grant that the report is about.
	Grant GrantID
	// Spent is the sum spent of it so far.
	Spent Micro
	// Done says that nothing more will be spent, so that the rest goes back.
	Done bool
}

// Ask is what a wallet wants of a mint.
type Ask struct {
	// Need is what waiting requests lack. It may be zero.
	Need Micro
	// Ahead is what the wallet would like on top, for requests to come.
	Ahead Micro
	// Reports tell what became of earlier grants.
	Reports []Report
}

// Answer is what a mint gives.
type Answer struct {
	// Grant names the grant. It is zero when Amount is.
	Grant GrantID
	// Amount is debited already. It may be less than one token.
	Amount Micro
	// Level is what the mint has left.
	Level Micro
	// EmptyFor is the time for which another ask makes little sense.
	EmptyFor time.Duration
}
