// Package group watches the backend servers of one service over the PostgreSQL
// protocol and carries out what core/term decides: it asks for statuses, fences,
// promotes and reserves terms.
package group
