package eta

import "time"

const (
	// firstWork is the time in a slot of a statement that is assumed until it has been observed.
	firstWork = 20 * time.Millisecond
	// weight is the weight of a new observation in moving averages, so that about the last ten count.
	weight = 0.1
	// highQuantile is the part of the statements that take no longer than the high estimate.
	highQuantile = 0.9
	// quantileStep is the step by which the estimate of the quantile follows observations, as a part
	// of the mean.
	quantileStep = 0.1
)

// work is the time that statements of a route take at an idle server, without the round trip that a
// server takes more than others.
type work struct{ mean, high time.Duration }

// observe updates the estimates with one statement.
func (w *work) observe(took time.Duration) {
	if w.mean == 0 {
		w.mean, w.high = max(took, 1), took*3/2
		return
	}
	w.mean = max(w.mean+time.Duration(weight*float64(took-w.mean)), 1)
	step := quantileStep * float64(w.mean)
	if took > w.high {
		w.high += time.Duration(step * highQuantile)
	} else {
		w.high -= time.Duration(step * (1 - highQuantile))
	}
	w.high = max(w.high, w.mean)
}

// estimates returns the mean and the high quantile.
func (w *work) estimates() (mean, high time.Duration) {
	if w == nil || w.mean == 0 {
		return firstWork, firstWork * 3 / 2
	}
	return w.mean, w.high
}
