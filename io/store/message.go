package store

// The messages of the platform's protocol besides Item, Swap and Listed. The
// client and the stand-in share them.

// ItemList answers a call that lists items.
type ItemList struct {
	Items []Item `json:"items"`
}

// ListedList answers the call for the list of instances.
type ListedList struct {
	Instances []Listed `json:"instances"`
}

// Revision answers a swap, both an accepted and a refused one.
type Revision struct {
	Revision uint64 `json:"revision"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMs int64 `json:"ttl_ms"`
}

// LeaseGrant answers a LeaseRequest.
type LeaseGrant struct {
	LeaseID LeaseID `json:"lease_id"`
}

// Failure is the body of every answer that is an error.
type Failure struct {
	Error FailureBody `json:"error"`
}

// FailureBody names the error for programs and for people.
type FailureBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}
