package proxy

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"pomelofork/io/relay"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

// contentLife is the time for which a packed copy of the whole content is sent to followers: long enough
// that the instances of a fleet which start together share a few copies, and short enough that the changes
// since are few.
const contentLife = 250 * time.Millisecond

// contentCache keeps the last packed copy of the store's whole content. All instances that start need it,
// and in a large fleet it is some hundred kilobytes.
type contentCache struct {
	mu sync.Mutex
	// packedAt is when the copy was made, and completeAt the time as of which it was complete.
	packedAt, completeAt time.Time
	response             relay.FollowResponse
}

// recent returns the answer with the last copy, if that was made a moment ago and in the present era of the
// store.
func (c *contentCache) recent(now time.Time, era uint64) (relay.FollowResponse, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.response.Known || now.Sub(c.packedAt) >= contentLife || store.Era(c.response.Revision) != era {
		return relay.FollowResponse{}, false
	}
	answer := c.response
	answer.Age = now.Sub(c.completeAt)
	return answer, true
}

// pack returns the answer with the whole content and keeps it.
func (c *contentCache) pack(now time.Time, update view.Update, encoded []store.Entry, log *slog.Logger) relay.FollowResponse {
	answer := relay.FollowResponse{Known: true, All: true, Revision: update.Revision, Age: update.Age, Entries: encoded}
	packed, err := relay.PackEntries(encoded)
	if err != nil {
		// Compressing in memory doesn't fail. If it did, the entries could still be sent as they are.
		log.LogAttrs(context.Background(), slog.LevelWarn, "cannot pack the content for followers", slog.String("error", err.Error()))
	}
	answer.Packed = packed
	c.mu.Lock()
	defer c.mu.Unlock()
	c.packedAt, c.completeAt, c.response = now, now.Add(-update.Age), answer
	return answer
}
