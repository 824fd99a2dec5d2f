package model

// AccountID identifies one client account.
type AccountID string

// ServiceID identifies one database service, which consists of a group of backend servers
// that replicate one database.
type ServiceID string

// ServerID identifies one backend server. It is unique over all services.
type ServerID string

// InstanceID identifies one instance of the fleet.
type InstanceID string

// Region identifies a group of failure domains that are close to each other.
type Region string

// Domain identifies one failure domain: machines that may fail together, such as a zone.
type Domain string

// RouteID identifies one route that the configuration declares.
type RouteID string
