package event

// Events of area "gate": 400 to 499.
const ()

var gateKinds = map[ID]Kind{}
