package entry

import (
	"time"

	"pomelofork/core/plan"
	"pomelofork/core/stmt"
)

// transaction is a caller's open transaction. It begins on a server with its first
// statement that needs one.
type transaction struct {
	// unit is the number of the transaction, which is unique at this entry.
	unit uint64
	admission
	begin stmt.Op
	// begunAt is when the caller began it.
	begunAt time.Time
	server  plan.Server
	// begun is true while the transaction may be open on the server.
	begun bool
	// wrote is true if a write may have taken effect in it.
	wrote bool
	// failed is true if the transaction can only be ended.
	failed bool
	// aborted is the reason why this instance ended the transaction, or empty.
	aborted string
}
