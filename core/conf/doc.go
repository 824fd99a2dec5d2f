// Package conf defines the configuration: its JSON document, the validation of that
// document, the changes that operators make to it, and the tracking of its newest
// version by an instance.
//
// A Document is the form that is sent and stored. A Config is a Document that passed
// every check, with the active preset applied; it is immutable.
package conf
