// Package node builds one instance out of its roles: it takes callers, holds its part
// of the fleet's rights, is a gateway for some services, and answers operators.
package node
