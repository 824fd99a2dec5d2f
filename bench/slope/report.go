package slope

// Report holds all slopes of single parts.
type Report struct {
	ConfigByAccounts Config `json:"config_by_accounts"`
	ConfigByServices Config `json:"config_by_services"`
	RightsByMembers  Rights `json:"rights_by_members"`
	LimitsByAccounts Limits `json:"limits_by_accounts"`
	QueuesByAccounts Queues `json:"queues_by_accounts"`
}
