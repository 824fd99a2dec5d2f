package lease

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"pomelofork/core/model"
)

// Record is the document under the store's key rights. It is a message: its fields
// are exported. A record is never changed after it was made.
type Record struct {
	// Epoch counts the changes. It starts at 1.
	Epoch uint64 `json:"epoch"`
	// ChangeID names the swap that wrote the record, so that a proposer whose
	// answer got lost finds out by reading back.
	ChangeID string `json:"change_id"`
	// Members are the instances, sorted by name.
	Members []Member `json:"members"`
	// Changed names the members that the epoch before did not have in this form.
	Changed []model.InstanceID `json:"changed,omitempty"`
	// Before holds the former members that are gone or were changed.
	Before []Member `json:"before,omitempty"`
}

// ParseRecord reads the form that Encode writes.
func ParseRecord(text string) (Record, error) {
	var r Record
	if err := json.Unmarshal([]byte(text), &r); err != nil {
		return Record{}, fmt.Errorf("record of rights: %w", err)
	}
	if r.Epoch == 0 {
		return Record{}, fmt.Errorf("record of rights: epoch is missing")
	}
	for i := 1; i < len(r.Members); i++ {
		if compareMembers(r.Members[i-1], r.Members[i]) >= 0 {
			return Record{}, fmt.Errorf("record of rights: member %q is out of order or twice", r.Members[i].Instance)
		}
	}
	return r, nil
}

// Encode returns the JSON form.
func (r Record) Encode() (string, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return "", fmt.Errorf("record of rights: %w", err)
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

// Has reports whether this very start of the instance is a member.
func (r Record) Has(m Member) bool {
	found, ok := r.Member(m.Instance)
	return ok && found.Is(m)
}

// Previous returns the members of the epoch before.
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
