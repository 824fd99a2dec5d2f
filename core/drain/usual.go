package drain

import "time"

const (
	// spread is the factor by which a statement may exceed the longest recent ones, since the
	// servers of an instance that stops are in other hands.
	spread = 2
	// memoryWeight is the weight with which a shorter statement lowers the longest recent time, so
	// that about the last thirty count.
	memoryWeight = 1.0 / 32
	// transactionWeight is the weight of a new transaction in the moving average.
	transactionWeight = 0.1
)

// Usual records how long the work of each class of statements usually takes, for Stop.Allows. The zero
// value knows nothing. It is not safe for concurrent use.
type Usual struct{ classes map[string]*usual }

// usual is what is known of one class.
type usual struct {
	// statement is about the longest of the recent statements, and transaction the mean of the
	// transactions. Zero means that there was none.
	statement, transaction time.Duration
}

// Statement returns the time within which practically all statements of a class are answered. It is at
// most limit, their time-out, and equal to it if nothing is known.
func (u *Usual) Statement(class string, limit time.Duration) time.Duration {
	c, ok := u.classes[class]
	if !ok || c.statement == 0 {
		return limit
	}
	return min(spread*c.statement, limit)
}

// Transaction returns the mean time of the transactions of a class, from the begin to the end, or zero if
// none is known.
func (u *Usual) Transaction(class string) time.Duration {
	if c, ok := u.classes[class]; ok {
		return c.transaction
	}
	return 0
}

// ObserveStatement records a statement that succeeded.
func (u *Usual) ObserveStatement(class string, took time.Duration) {
	c := u.class(class)
	if took >= c.statement {
		c.statement = took
		return
	}
	c.statement -= time.Duration(memoryWeight * float64(c.statement-took))
}

// ObserveTransaction records a transaction that its caller ended.
func (u *Usual) ObserveTransaction(class string, took time.Duration) {
	c := u.class(class)
	if c.transaction == 0 {
		c.transaction = took
		return
	}
	c.transaction += time.Duration(transactionWeight * float64(took-c.transaction))
}

func (u *Usual) class(name string) *usual {
	c, ok := u.classes[name]
	if !ok {
		if u.classes == nil {
			u.classes = map[string]*usual{}
		}
		c = &usual{}
		u.classes[name] = c
	}
	return c
}
