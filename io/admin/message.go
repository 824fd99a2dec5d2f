package admin

import (
	"pomelofork/core/conf"
	"pomelofork/core/model"
)

// The error codes, besides those of conf.Answer.
const (
	codeUnauthorised = "unauthorised"
	codeNotFound     = "not_found"
	codeBadRequest   = "bad_request"
)

// Accepted is the response to an accepted change.
type Accepted struct {
	// ID is the change's identifier.
	ID string `json:"id"`
	// Answer is "accepted".
	Answer string `json:"answer"`
	// Version is the version that the change made.
	Version uint64 `json:"version"`
}

// ErrorResponse is the body of every error response.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error to programs and to people.
type ErrorDetail struct {
	// Code identifies the error to programs. It is one of unauthorised, not_found,
	// bad_request, conflicting, refused, unavailable and not_known.
	Code string `json:"code"`
	// Message describes the error for people.
	Message string `json:"message"`
	// Version is the current version of the configuration, or zero if it isn't known.
	Version uint64 `json:"version,omitempty"`
	// Faults are the faults of a rejected change.
	Faults []FaultMessage `json:"faults,omitempty"`
}

// FaultMessage is the JSON form of a conf.Fault. An empty place means the whole change.
type FaultMessage struct {
	Place string `json:"place"`
	Text  string `json:"text"`
}

// ConfigMessage is the response to a request for the configuration.
type ConfigMessage struct {
	// Source is "store" if the store returned the document. It is "instance" if the
	// document is the one in force at the instance, because the store did not answer, is
	// empty or holds an invalid or older one.
	Source string `json:"source"`
	// Document is the configuration document.
	Document conf.Document `json:"document"`
}

// FleetMessage lists the version of the configuration in force at each instance.
type FleetMessage struct {
	// Version is the version in force at the answering instance.
	Version uint64 `json:"version"`
	// Instances are the known instances, sorted by identifier.
	Instances []InstanceMessage `json:"instances"`
}

// InstanceMessage is one instance of the fleet.
type InstanceMessage struct {
	ID model.InstanceID `json:"id"`
	// Version is the version in force at the instance, or zero if it isn't known.
	Version uint64 `json:"version"`
}

// ChangeMessage describes an accepted change and how far it has spread in the fleet.
type ChangeMessage struct {
	// Change is the record of the change in the configuration.
	Change conf.ChangeEntry `json:"change"`
	// InForce is the number of instances at which the change is in force.
	InForce int `json:"in_force"`
	// Instances is the number of known instances.
	Instances int `json:"instances"`
	// Behind are the instances at which the change is not in force yet, as far as is known,
	// sorted by identifier.
	Behind []model.InstanceID `json:"behind"`
}
