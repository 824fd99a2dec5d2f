package store

// The other messages of the platform's protocol, besides Item, Swap and ListedInstance. The
// client and the emulator of the platform share them.

// ItemList is the response to a call that lists items.
type ItemList struct {
	Items []Item `json:"items"`
}

// InstanceList is the response to the call for the list of instances.
type InstanceList struct {
	Instances []ListedInstance `json:"instances"`
}

// SwapResponse is the response to a swap. Revision is the new revision of the item if the
// swap was done, and its current revision if the swap was refused.
type SwapResponse struct {
	Revision uint64 `json:"revision"`
}

// LeaseRequest asks for a lease with a time to live in milliseconds.
type LeaseRequest struct {
	TTLMs int64 `json:"ttl_ms"`
}

// LeaseGrant is the response to a LeaseRequest.
type LeaseGrant struct {
	LeaseID LeaseID `json:"lease_id"`
}

// ErrorResponse is the body of each response that reports an error.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error: Code is for programs, Message for people.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}
