package scrape

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// WriteSnapshots writes snapshots as JSON lines.
func WriteSnapshots(w io.Writer, snapshots []Snapshot) error {
	encoder := json.NewEncoder(w)
	for _, snapshot := range snapshots {
		if err := encoder.Encode(snapshot); err != nil {
			return fmt.Errorf("write snapshots: %w", err)
		}
	}
	return nil
}

// ReadSnapshots reads all snapshots from JSON lines. The error gives the number of the
// snapshot that is malformed, starting at 1.
func ReadSnapshots(r io.Reader) ([]Snapshot, error) {
	var list []Snapshot
	decoder := json.NewDecoder(r)
	for {
		var snapshot Snapshot
		err := decoder.Decode(&snapshot)
		if errors.Is(err, io.EOF) {
			return list, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read snapshot %d: %w", len(list)+1, err)
		}
		list = append(list, snapshot)
	}
}
