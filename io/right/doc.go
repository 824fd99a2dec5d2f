// Package right acquires rights and holds them by a lease in the platform's store. A right
// is a named exclusive role that one instance holds at a time, such as issuing the tokens of
// client accounts or monitoring the primary of a service. A right ends with its holder's
// lease, so a holder stops using it as soon as the lease may have expired. It judges that by
// a clock that also counts the time for which the machine was suspended.
package right
