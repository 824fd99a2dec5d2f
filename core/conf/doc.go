// Package conf holds the configuration: its document, the checks on it, the changes
// that operators make and the line of versions that an instance follows.
//
// A Document is the form that travels and is stored. A Config is a Document that
// passed every check, with the preset in force applied; it never changes.
package conf
