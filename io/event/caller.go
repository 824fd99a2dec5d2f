package event

// Events of area "caller": 500 to 599.
const ()

var callerKinds = map[ID]Kind{}
