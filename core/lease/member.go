package lease

import "pomelofork/core/model"

// Member is one instance in the record. It is stored in the record as JSON, and sent to
// peers by net/rpc.
type Member struct {
	// Instance is the name of the instance.
	Instance model.InstanceID `json:"instance"`
	// Incarnation identifies one start of the instance. A later start has a larger value.
	Incarnation uint64 `json:"incarnation"`
	// FailureDomain is the failure domain in which the instance runs.
	FailureDomain model.Domain `json:"failure_domain"`
	// PeerAddress is the IP address and port at which it answers other instances.
	PeerAddress string `json:"peer_address"`
	// LinkAddress is the IP address and port at which it accepts the streams that entries
	// open to its gateways.
	LinkAddress string `json:"link_address"`
	// Leaving says that the instance gets no rights, because it is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// Is reports whether m and other are the same incarnation of the same instance.
func (m Member) Is(other Member) bool {
	return m.Instance == other.Instance && m.Incarnation == other.Incarnation
}
