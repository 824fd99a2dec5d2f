package slots

import (
	"container/heap"
	"time"

	"pomelofork/core/fair"
)

// statement is one arrival.
type statement struct {
	account int
	write   bool
	cost    time.Duration
	at      time.Time
}

// event is an arrival, the end of a statement's time, or the end of its run.
type event struct {
	at        time.Time
	kind      kind
	statement *statement
	item      fair.Item[*statement]
	server    int
}

// kind is the kind of an event.
type kind uint8

const (
	kindArrival kind = iota
	kindTimeout
	kindEnd
)

// agenda holds the events to come, the earliest first.
type agenda []event

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(event)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

func (a *agenda) add(e event) { heap.Push(a, e) }

func (a *agenda) next() event { return heap.Pop(a).(event) }
