// Package load drives a fleet the way its callers do: seeded open-loop arrivals of
// client accounts with different rates, sessions over a stock PostgreSQL client
// that roam between entry addresses and carry their token, and a mix of writes,
// reads and transactions. It records every attempt for bench/judge.
package load
