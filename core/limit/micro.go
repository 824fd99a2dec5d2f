package limit

// Micro counts millionths of a token. One request costs one token.
type Micro int64

// Token is one whole token.
const Token Micro = 1_000_000

// Tokens returns n tokens, rounded down to millionths.
func Tokens(n float64) Micro { return Micro(n * float64(Token)) }
