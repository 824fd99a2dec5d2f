package limit

// MicroTokens is an amount in millionths of a token. One request costs one token.
type MicroTokens int64

// Token is the amount of one token.
const Token MicroTokens = 1_000_000

// Tokens returns the amount of n tokens, which may be a fraction, rounded towards zero.
func Tokens(n float64) MicroTokens { return MicroTokens(n * float64(Token)) }
