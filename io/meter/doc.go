// Package meter counts what one instance does and publishes the counts by expvar
// as the variable "pomelofork", in snake case: per client account, route, backend
// server, right and service. The number of names in each family is bounded; what
// comes after goes to the name "other". Counters only grow while the process runs.
package meter
