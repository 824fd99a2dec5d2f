package node

import (
	"context"
	"errors"
	"strconv"

	"pomelofork/core/model"
	"pomelofork/io/store"
)

// termPrefix starts the key under which the next free term of a service stands.
const termPrefix = "term/"

// terms reserves terms in the platform's key-value service.
type terms struct {
	client *store.Client
}

// Reserve takes the next free term of the service that is at least least. Two callers
// never get the same one. When an answer is lost a term is left unused, which is
// harmless: terms need only grow.
func (t terms) Reserve(ctx context.Context, service model.ServiceID, least model.Term) (model.Term, error) {
	key := termPrefix + string(service)
	item, err := t.client.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, err
	}
	next := least
	if stored, err := strconv.ParseUint(item.Value, 10, 64); err == nil {
		next = max(next, model.Term(stored))
	}
	swap := store.Swap{Key: key, ExpectedRevision: item.Revision, Value: strconv.FormatUint(uint64(next)+1, 10)}
	if _, err := t.client.Swap(ctx, swap); err != nil {
		return 0, err
	}
	return next, nil
}
