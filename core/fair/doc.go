// Package fair orders the units of work that wait for slots of backend servers. Each client
// account has a queue of its own. The accounts are served by a variant of deficit round
// robin: each has a credit of slot time that is refilled in proportion to its share, and
// is charged the time that its statements really took.
package fair
