// Package line gives refused callers places in a line, so that they return at the rate at which
// they can be served.
//
// Load pattern: many callers are refused in the same moment. If all are told the same time, they
// return together, and all but a few are refused again until their retries are used up.
package line
