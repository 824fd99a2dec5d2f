package quota

// static gives each instance an equal part for good. The part of a lost instance is
// lost too.
type static struct {
	*environment
	buckets []*bucket
}

func newStatic(e *environment) policy {
	s := &static{environment: e}
	for range Instances {
		s.buckets = append(s.buckets, newBucket(e.now, e.rate, 1.0/Instances))
	}
	return s
}

func (s *static) take(entry int, done func(bool)) { done(s.buckets[entry].take(s.now)) }

func (s *static) lose(int) {}

func (s *static) cut(int) {}

func (s *static) outage(bool) {}
