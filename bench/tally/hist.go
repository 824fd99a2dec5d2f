package tally

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of latencies.
const (
	histMin    = 1                                         // µs
	histMax    = int64(2 * time.Minute / time.Microsecond) // µs
	histDigits = 3
)

// hist collects latencies. Each is counted from the intended arrival, so a stall
// shows in every operation that it delayed.
type hist struct {
	h *hdrhistogram.Histogram
}

// newHist returns an empty histogram.
func newHist() hist { return hist{hdrhistogram.New(histMin, histMax, histDigits)} }

// add counts one latency. Longer ones than the range count as its end.
func (h hist) add(d time.Duration) {
	_ = h.h.RecordValue(min(histMax, max(histMin, d.Microseconds())))
}

// ms returns a quantile (0 to 100) in milliseconds.
func (h hist) ms(quantile float64) float64 {
	if h.h.TotalCount() == 0 {
		return 0
	}
	return float64(h.h.ValueAtQuantile(quantile)) / 1000
}

// latency returns the summary.
func (h hist) latency() Latency {
	return Latency{Median: h.ms(50), P99: h.ms(99), Max: h.ms(100)}
}
