package event

// Events of area "node": 600 to 699.
const ()

var nodeKinds = map[ID]Kind{}
