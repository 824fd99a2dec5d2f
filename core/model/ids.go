package model

// AccountID names one client account.
type AccountID string

// ServiceID names one database service, that is one group of backend servers.
type ServiceID string

// ServerID names one backend server. It is unique over all services.
type ServerID string

// InstanceID names one instance of the fleet.
type InstanceID string

// Domain names one failure domain.
type Domain string

// RouteID names one declared route.
type RouteID string
