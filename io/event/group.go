package event

// Events of area "group": 200 to 299.
const ()

var groupKinds = map[ID]Kind{}
