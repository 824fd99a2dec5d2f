package peer

import (
	"pomelofork/core/lease"
	"pomelofork/core/limit"
	"pomelofork/core/model"
)

// The messages between instances. Their fields are exported for encoding/gob, which
// omits fields that have their zero value.

// Heartbeat is the state that an instance reports about itself, both in the request and in
// the response of a heartbeat.
type Heartbeat struct {
	Instance    model.InstanceID
	Incarnation uint64
	// Epoch is the newest epoch of rights that the instance knows.
	Epoch uint64
	// Version is the configuration version in force at the instance, or zero if none is.
	Version uint64
	// Joining describes the instance while it asks to become a member, and is nil otherwise.
	Joining *lease.Member
	// Digest and Same are set only in responses in a large fleet. Digest holds what the
	// instance knows about the epochs of the other members. Same is a bit set over the
	// members, sorted by name: a bit is set if the member was recently seen with Version.
	Digest *lease.Digest
	Same   []byte
}

// RecordRequest asks for the record of rights if it is newer than Epoch.
type RecordRequest struct{ Epoch uint64 }

// RecordResponse holds the encoded record, or an empty text if there is no newer one.
type RecordResponse struct{ Text string }

// ConfigRequest asks for the configuration document of a version.
type ConfigRequest struct{ Version uint64 }

// ConfigResponse holds the document, compressed by package pack. Found is false if the
// version is not in force at the instance that answers.
type ConfigResponse struct {
	Found  bool
	Packed []byte
}

// DrawRequest asks the holder of one share of an account for tokens.
type DrawRequest struct {
	Account model.AccountID
	Share   int
	Epoch   uint64
	Ask     limit.DrawRequest
}

// DrawResponse holds the grant. Holder is false, and there is no grant, if the instance
// may not issue tokens of the share now. Epoch is the newest epoch that the instance
// knows.
type DrawResponse struct {
	Holder bool
	Epoch  uint64
	Answer limit.DrawResponse
}

// ReleaseRequest asks a former holder to hand over a right that moved in Epoch.
type ReleaseRequest struct {
	Right lease.Right
	Epoch uint64
}

// ReleaseResponse holds the handover of the right, if Released.
type ReleaseResponse struct {
	Released bool
	Handover limit.Handover
}

// OfferRequest tells a new holder that it can fetch rights from the sender.
type OfferRequest struct {
	Epoch  uint64
	Rights []lease.Right
}

// OfferResponse tells, for each right of the request in the same order, whether the new
// holder owns it now.
type OfferResponse struct{ Taken []bool }
