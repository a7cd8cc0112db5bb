package replay

// event is a function that runs at a point in virtual time.
type event struct {
	at  int64  // Nanoseconds since the start of the run.
	seq uint64 // Order of insertion.
	fn  func()
}

// events is a binary heap ordered by time, then by order of insertion. The second key
// makes a run independent of the layout of the heap.
type events struct {
	heap []event
	seq  uint64 // Of the event inserted last.
}

func (e *events) push(at int64, fn func()) {
	e.seq++
	e.heap = append(e.heap, event{at, e.seq, fn})
	i := len(e.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !e.less(i, parent) {
			return
		}
		e.heap[i], e.heap[parent] = e.heap[parent], e.heap[i]
		i = parent
	}
}

// next removes the earliest event. It returns false if there is none.
func (e *events) next() (event, bool) {
	if len(e.heap) == 0 {
		return event{}, false
	}
	first := e.heap[0]
	last := len(e.heap) - 1
	e.heap[0] = e.heap[last]
	e.heap[last] = event{}
	e.heap = e.heap[:last]
	e.siftDown(0)
	return first, true
}

func (e *events) siftDown(i int) {
	for {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(e.heap); child++ {
			if e.less(child, smallest) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		e.heap[i], e.heap[smallest] = e.heap[smallest], e.heap[i]
		i = smallest
	}
}

func (e *events) less(i, j int) bool {
	a, b := &e.heap[i], &e.heap[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}
