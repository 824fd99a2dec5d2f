// Package meter holds the metrics of one instance and publishes them by expvar as the JSON
// variable "pomelofork", with names in snake case. There is a family of metrics for each of
// client accounts, routes, backend servers, rights and services, with a set of metrics for
// each name, and one family with the rates of client accounts. The number of names in each
// family is bounded; further names share the metrics of the name "other". Counters start at
// zero with the process and only grow; "connections", "busy", "held", "epoch" and the rates
// are current values.
package meter
