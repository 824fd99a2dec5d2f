package lease

import "pomelofork/core/model"

// Member is one instance in the record. It is a message: its fields are exported.
type Member struct {
	// Instance names the instance.
	Instance model.InstanceID `json:"instance"`
	// Incarnation tells one start of the instance from the next. It grows.
	Incarnation uint64 `json:"incarnation"`
	// FailureDomain is where the instance runs.
	FailureDomain model.Domain `json:"failure_domain"`
	// PeerAddress is the IP number and port on which it answers its peers.
	PeerAddress string `json:"peer_address"`
	// LinkAddress is the IP number and port on which it takes lanes.
	LinkAddress string `json:"link_address"`
	// Leaving says that the instance gets no rights, because it stops soon.
	Leaving bool `json:"leaving,omitempty"`
}

// Is reports whether m and other are the same start of the same instance.
func (m Member) Is(other Member) bool {
	return m.Instance == other.Instance && m.Incarnation == other.Incarnation
}
