// Package change measures changes of primary: the parts of the gap in writes for
// each way of detecting a failed primary, and how often a pause alone makes each
// way promote. It runs groups and watchers in one process, over loopback.
package change
