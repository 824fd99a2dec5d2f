package gate

import "container/list"

// names is the set of prepared statements that one connection has. The one used
// longest ago is the first to go.
type names struct {
	limit int
	order *list.List
	at    map[string]*list.Element
}

func newNames(limit int) *names {
	return &names{limit: limit, order: list.New(), at: map[string]*list.Element{}}
}

// use reports whether the connection has the statement and marks it as used.
func (n *names) use(name string) bool {
	element, ok := n.at[name]
	if ok {
		n.order.MoveToFront(element)
	}
	return ok
}

// add records a statement that the connection got.
func (n *names) add(name string) {
	if n.use(name) {
		return
	}
	n.at[name] = n.order.PushFront(name)
}

// surplus removes and returns the statements above the limit.
func (n *names) surplus() []string {
	var out []string
	for n.order.Len() > n.limit {
		element := n.order.Back()
		name := element.Value.(string)
		n.order.Remove(element)
		delete(n.at, name)
		out = append(out, name)
	}
	return out
}
