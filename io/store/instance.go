package store

// The kinds and states of listed instances.
const (
	KindEntry         = "entry"
	KindBackendServer = "backend_server"
	StateLive         = "live"
	StateLeaving      = "leaving"
)

// ListedInstance is one row of the platform's list of instances. It is a message of the
// platform's protocol, so its fields are exported.
type ListedInstance struct {
	// ID is the identifier of the instance or backend server.
	ID string `json:"id"`
	// Kind is KindEntry or KindBackendServer.
	Kind string `json:"kind"`
	// Address is the IP address and port.
	Address string `json:"address"`
	// FailureDomain is the failure domain in which the instance runs.
	FailureDomain string `json:"failure_domain"`
	// Service is the service of a backend server. It is empty for an entry.
	Service string `json:"service,omitempty"`
	// State is StateLive or StateLeaving.
	State string `json:"state"`
}
