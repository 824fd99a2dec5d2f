package limit

import "time"

// GrantID identifies one grant. It is part of messages.
type GrantID struct {
	// Mint is the issuer's IssuerConfig.ID. A share gets an issuer with a new ID each time
	// that an instance becomes its holder.
	Mint uint64
	// Seq counts the issuer's grants, from 1.
	Seq uint64
}

// Report tells an issuer how much of one of its grants was spent. It is part of messages.
type Report struct {
	// Grant is the grant that the report is about.
	Grant GrantID
	// Spent is the total spent of the grant so far.
	Spent MicroTokens
	// Done is true if nothing more will be spent, so that the remainder is returned.
	Done bool
}

// Level is the last observed level of one share's bucket. It is part of messages.
type Level struct {
	// Amount is the level.
	Amount MicroTokens
	// Age is the time since the observation, as of the sending of the message.
	Age time.Duration
	// Known is false if the level was never observed.
	Known bool
}

// Levels are the last observed levels of all shares of an account.
type Levels [Shares]Level

// DrawRequest is a token cache's message to an issuer.
type DrawRequest struct {
	// Need is the amount that waiting requests lack. It may be zero.
	Need MicroTokens
	// Ahead is the amount to prefetch beyond Need, for requests to come.
	Ahead MicroTokens
	// Validity is the time for which the grant can be spent, from the sending of the
	// request. Zero, or more than the issuer allows, means the issuer's maximum.
	Validity time.Duration
	// Reports tell how much of earlier grants was spent.
	Reports []Report
	// Levels are the levels that the cache has observed, for the issuer to pass on.
	Levels Levels
}

// DrawResponse is an issuer's message to a token cache.
type DrawResponse struct {
	// Grant identifies the grant. It is zero when Amount is.
	Grant GrantID
	// Amount is the amount granted, already debited. It may be less than one token.
	Amount MicroTokens
	// Levels are the issuer's own level after the grant and what it was told of the
	// other shares.
	Levels Levels
	// EmptyFor is the time for which the issuer is unlikely to have tokens.
	EmptyFor time.Duration
}
