package replay

// event is one step in virtual time.
type event struct {
	at  int64 // Nanoseconds since the start.
	seq uint64
	do  func()
}

// events is a binary heap by time, then by order of insertion. The second key
// makes a run independent of the layout of the heap.
type events struct {
	heap []event
	seq  uint64
}

func (e *events) add(at int64, do func()) {
	e.seq++
	e.heap = append(e.heap, event{at, e.seq, do})
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

func (e *events) next() (event, bool) {
	if len(e.heap) == 0 {
		return event{}, false
	}
	first := e.heap[0]
	last := len(e.heap) - 1
	e.heap[0] = e.heap[last]
	e.heap[last] = event{}
	e.heap = e.heap[:last]
	e.sink(0)
	return first, true
}

func (e *events) sink(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(e.heap); child++ {
			if e.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		e.heap[i], e.heap[least] = e.heap[least], e.heap[i]
		i = least
	}
}

func (e *events) less(i, j int) bool {
	a, b := &e.heap[i], &e.heap[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}
