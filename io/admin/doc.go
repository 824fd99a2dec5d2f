// Package admin implements the administration API of an instance, which is HTTP with
// JSON bodies under /v1/, and a client for it. Operators read the configuration and the
// versions in force at each instance, and send changes of the configuration. A change
// carries an identifier and the version that it applies to, so that sending it again is
// safe and concurrent changes don't overwrite each other. docs/OPERATIONS.md describes the
// calls, responses and errors.
package admin
