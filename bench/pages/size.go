package pages

import "pomelofork/core/limit"

// Size is the fleet that the capacity page is worked out for.
type Size struct {
	// Nodes is the number of instances, Databases that of services.
	Nodes, Databases float64
	// Accounts is the number of client accounts.
	Accounts float64
	// Connections is the number of callers' connections.
	Connections float64
	// StatementsPerS and ChangesPerDay are rates over the whole fleet.
	StatementsPerS, ChangesPerDay float64
	// FailureDomains counts those of both regions.
	FailureDomains float64
}

// TargetSize returns the size to design for. Client accounts are in the proportion
// of today's deployments: eight for three services.
func TargetSize() Size {
	const databases = 830
	return Size{
		Nodes: 780, Databases: databases, Accounts: databases * 8 / 3, Connections: 7.4e6,
		StatementsPerS: 440e3, ChangesPerDay: 2200, FailureDomains: 8,
	}
}

// The number of holders of each kind of right.
const (
	gatewaysPerService = 2
	sharesPerAccount   = limit.Shares
)

// ConnectionsPerNode returns the callers' connections of one instance.
func (s Size) ConnectionsPerNode() float64 { return s.Connections / s.Nodes }

// StatementsPerNode returns the statements a second that enter at one instance.
func (s Size) StatementsPerNode() float64 { return s.StatementsPerS / s.Nodes }

// GatewaysPerNode returns the number of services of which an instance is a gateway.
func (s Size) GatewaysPerNode() float64 { return s.Databases * gatewaysPerService / s.Nodes }

// SharesPerNode returns the number of minting shares that an instance holds.
func (s Size) SharesPerNode() float64 { return s.Accounts * sharesPerAccount / s.Nodes }

// ChangesPerS returns the configuration changes a second.
func (s Size) ChangesPerS() float64 { return s.ChangesPerDay / 86400 }

// Budget is what an instance may spend on control.
type Budget struct {
	// CoreShare is a part of one core, Bytes memory, BytesPerS traffic.
	CoreShare, Bytes, BytesPerS float64
}

// ControlBudget returns the budget of one instance.
func ControlBudget() Budget {
	return Budget{CoreShare: 0.013, Bytes: 32 << 20, BytesPerS: 21e3}
}
