// Package group watches the backend servers of one service and carries out what
// core/term decides. Over the PostgreSQL protocol it polls the servers' statuses,
// fences servers and promotes one; in the platform's store it reserves series of terms.
package group
