package event

// Events of area "right": 300 to 399.
const ()

var rightKinds = map[ID]Kind{}
