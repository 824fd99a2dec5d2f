package event

// Events of area "conf": 100 to 199.
const ()

var confKinds = map[ID]Kind{}
