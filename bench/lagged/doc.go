// Package lagged compares in virtual time the rules by which statements reach the servers of one service
// whose replicas lag: the constant costs of core/place, and core/pick. Callers that are
// refused come back up to two times.
package lagged
