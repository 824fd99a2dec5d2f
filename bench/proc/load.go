package proc

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// LoadAverage returns the mean number of processes that ran or wanted to run on this
// machine over the last minute. A number above that of its processors means that
// latencies of a run are longer than its own work explains.
func LoadAverage() (float64, error) {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0, err
	}
	first, _, _ := strings.Cut(string(text), " ")
	load, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0, fmt.Errorf("load average: %w", err)
	}
	return load, nil
}
