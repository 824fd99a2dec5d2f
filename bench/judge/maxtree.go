package judge

import "math"

// maxTree keeps the maximum over the elements of a list that have been set, under
// additions to all elements from some index on, set or not.
type maxTree struct {
	size int
	best []float64
	add  []float64
}

// newMaxTree returns the tree over n elements, none of them set.
func newMaxTree(n int) *maxTree {
	size := 1
	for size < n {
		size *= 2
	}
	t := &maxTree{size: size, best: make([]float64, 2*size), add: make([]float64, 2*size)}
	for i := range t.best {
		t.best[i] = math.Inf(-1)
	}
	return t
}

// max returns the largest element that has been set.
func (t *maxTree) max() float64 { return t.best[1] }

// set gives element i a value, on top of what was added to it so far.
func (t *maxTree) set(i int, value float64) {
	leaf := t.size + i
	t.best[leaf] = value + t.add[leaf]
	for node := leaf / 2; node > 0; node /= 2 {
		t.pull(node)
	}
}

// addFrom adds delta to every element from index i on.
func (t *maxTree) addFrom(i int, delta float64) {
	node := t.size + i
	t.raise(node, delta)
	for node > 1 {
		if node%2 == 0 {
			t.raise(node+1, delta)
		}
		node /= 2
		t.pull(node)
	}
}

// raise adds delta to everything below a node.
func (t *maxTree) raise(node int, delta float64) {
	t.best[node] += delta
	t.add[node] += delta
}

// pull works out a node from its children.
func (t *maxTree) pull(node int) {
	t.best[node] = max(t.best[2*node], t.best[2*node+1]) + t.add[node]
}
