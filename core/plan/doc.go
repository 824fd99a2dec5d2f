// Package plan defines the parts of the platform's configuration that statements are
// checked against: routes by database name, client accounts by key, and limits. It also
// defines what an instance knows about backend servers and about other instances.
package plan
