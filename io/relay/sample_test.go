package relay

import (
	"time"

	"pomelofork/core/model"
	"pomelofork/core/stmt"
	"pomelofork/io/store"
)

// samples returns one message of each type with all its fields set.
func samples() map[string]message {
	return map[string]message{
		"run request": &RunRequest{Order: stmt.Order{
			Entry: 7, Unit: 300, Begin: stmt.OpBeginRead, Prove: true, After: model.NewPoint(1, 2), Server: "s", Epoch: 9, Account: "a", Class: "c",
			Priority: -3, Target: -time.Second, Timeout: time.Minute, Values: []stmt.Value{{Name: "n", Content: "c d"}, {Name: "m"}},
			Prepared:  stmt.Prepared{Shape: "q", Writes: true},
			Statement: stmt.Statement{ID: "i", Text: "EXECUTE x y", Kind: stmt.KindExecute, Name: "x", Rest: "y", Writes: true},
			Homes:     []model.Region{"r", "t"},
		}},
		"run response": &RunResponse{Result: stmt.Result{
			Answer: stmt.Answer{Rows: []string{"a b", ""}, Digest: "d", Code: stmt.CodeFailed, Text: "t", State: stmt.StateFailed, Point: model.NewPoint(3, 4)},
			Wait:   time.Second, RetryAfter: 2 * time.Second, Latest: model.NewPoint(5, 6), LatestAge: -time.Millisecond, NotSent: true,
			Waits: []stmt.PriorityWait{{Priority: 0, Wait: time.Millisecond}, {Priority: 2, Wait: time.Second}}, OpeningShare: 0.25,
		}},
		"draw request":    &DrawRequest{Account: "a", Mint: 1, Need: 2, Ahead: 3, MaxWait: time.Second},
		"draw response":   &DrawResponse{Holds: true, Tokens: 5, Delay: time.Second, RetryAfter: time.Minute},
		"look request":    &LookRequest{Service: "s", Wait: time.Second},
		"look response":   &LookResponse{ConfigAge: -1, Point: model.NewPoint(1, 2), Age: time.Minute},
		"follow request":  &FollowRequest{After: 1 << 50, All: true, Wait: time.Second, CheckOnly: true},
		"follow response": &FollowResponse{Known: true, All: true, Revision: 5, Age: time.Second, Entries: []store.Entry{{Key: "k", Value: []byte{0, 1}, Revision: 9, Lease: 4, Removed: true}, {Key: "l", Value: []byte{2}, Revision: 1}}},
		"confirm request": &ConfirmRequest{Server: "s", Probe: true}, "confirm response": &ConfirmResponse{Confirmed: true, Age: time.Second},
		"withdraw request": &WithdrawRequest{Service: "s", Epoch: 1 << 41}, "withdraw response": &WithdrawResponse{},
		"endorse request": &EndorseRequest{Service: "s"}, "endorse response": &EndorseResponse{Endorsed: true, Epoch: 7},
		"outage request": &OutageRequest{Domain: "d"}, "outage response": &OutageResponse{Suspected: true},
	}
}
