package lease

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"pomelofork/core/model"
)

// Record is the document under the key "rights" in the store. It is encoded as JSON. A
// record must not be changed after it was made.
type Record struct {
	// Epoch counts the changes. It starts at 1.
	Epoch uint64 `json:"epoch"`
	// ChangeID identifies the compare-and-swap that wrote the record. A proposer that got
	// no answer reads the record back and compares it.
	ChangeID string `json:"change_id"`
	// Members are the instances, sorted by name.
	Members []Member `json:"members"`
	// Changed names the members that were added or replaced in this epoch.
	Changed []model.InstanceID `json:"changed,omitempty"`
	// Before holds the members of the epoch before that were removed or replaced.
	Before []Member `json:"before,omitempty"`
}

// maxEpoch is the highest epoch of a record that is accepted, so that epochs can be counted
// up.
const maxEpoch = 1<<63 - 1

// ParseRecord decodes the form that Encode writes. It returns an error when the epoch is
// missing or too large, or the members have no names or are not sorted by name without
// duplicates.
func ParseRecord(text string) (Record, error) {
	var r Record
	if err := json.Unmarshal([]byte(text), &r); err != nil {
		return Record{}, fmt.Errorf("record of rights: decode: %w", err)
	}
	if r.Epoch == 0 {
		return Record{}, fmt.Errorf("record of rights: epoch is zero or missing")
	}
	if r.Epoch > maxEpoch {
		return Record{}, fmt.Errorf("record of rights: epoch %d is above %d", r.Epoch, uint64(maxEpoch))
	}
	if len(r.Members) > 0 && r.Members[0].Instance == "" {
		return Record{}, fmt.Errorf("record of rights: a member has no name")
	}
	for i := 1; i < len(r.Members); i++ {
		if compareMembers(r.Members[i-1], r.Members[i]) >= 0 {
			return Record{}, fmt.Errorf("record of rights: member %q is a duplicate or not sorted by name", r.Members[i].Instance)
		}
	}
	return r, nil
}

// Encode returns the JSON form.
func (r Record) Encode() (string, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return "", fmt.Errorf("record of rights: encode: %w", err)
	}
	return string(text), nil
}

// Member returns the member with the given name.
func (r Record) Member(id model.InstanceID) (Member, bool) {
	i, found := slices.BinarySearchFunc(r.Members, id, func(m Member, id model.InstanceID) int {
		return strings.Compare(string(m.Instance), string(id))
	})
	if !found {
		return Member{}, false
	}
	return r.Members[i], true
}

// Has reports whether this incarnation of the instance is a member.
func (r Record) Has(m Member) bool {
	found, ok := r.Member(m.Instance)
	return ok && found.Is(m)
}

// Previous returns the members of the epoch before, sorted by name.
func (r Record) Previous() []Member {
	changed := make(map[model.InstanceID]bool, len(r.Changed))
	for _, id := range r.Changed {
		changed[id] = true
	}
	previous := slices.Clone(r.Before)
	for _, m := range r.Members {
		if !changed[m.Instance] {
			previous = append(previous, m)
		}
	}
	slices.SortFunc(previous, compareMembers)
	return previous
}

// compareMembers orders members by name.
func compareMembers(a, b Member) int {
	return strings.Compare(string(a.Instance), string(b.Instance))
}
