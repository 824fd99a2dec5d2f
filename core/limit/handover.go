package limit

// maxHandedOver bounds each amount of a handover, far above any burst, so that sums of amounts
// don't overflow.
const maxHandedOver MicroTokens = 1 << 60

// inRange returns the amount, or the nearest one that a handover can have.
func inRange(amount MicroTokens) MicroTokens { return min(max(amount, 0), maxHandedOver) }

// Handover is the state of an issuer that its holder passes to the next one. It is part of
// messages.
type Handover struct {
	// Level is the level of the bucket.
	Level MicroTokens
	// Outstanding is the amount granted that may still be spent.
	Outstanding MicroTokens
}
