// Package fair orders the units of work that wait for slots of backend servers.
// Each client account has a queue of its own. Accounts are served in the manner of
// a deficit round robin: each has an allowance of slot time that is refilled in
// proportion to its share, and pays the time that its statements really took.
package fair
