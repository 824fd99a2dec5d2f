// Package epoch keeps two servers of one service from acting as its primary at the same time.
//
// The store holds, for each service, which server is appointed as its primary. The revision of
// that entry is the epoch of the appointment. The instance that monitors the service begins a
// replacement by writing an entry that appoints no server, which withdraws the former
// appointment, and has another server promoted only after no instance uses the former one any
// more. An instance passes on the work of a primary only with the epoch under which that work was
// requested, and only while its copy of the store's content is recent and its registration in the
// store certain (Guard). So an instance has stopped when it has acknowledged the withdrawal, when
// its registration has ended, or when its copy must have become too old (Withdrawal).
//
// Load pattern: a network partition separates a primary from its replicas and from most
// instances, while a few instances still reach it and their callers go on writing. The platform
// doesn't fence it, so the old primary answers them until a second after it reaches the new one.
//
// What is assumed of clocks: they run at the same rate, up to ClockSlack in PermitLife, and
// continue while a machine is suspended. Times of different instances are never compared.
package epoch
