package limit

import (
	"container/list"
	"slices"
)

// classWeights are the shares of admissions that the classes get while all of them have
// waiters.
var classWeights = [classCount]float64{Urgent: 8, Normal: 4, Bulk: 1}

// scheduler orders the waiters: stride scheduling between the classes, round robin between
// the accounts of a class, and first in, first out within an account. It is not safe for
// concurrent use.
type scheduler struct {
	classes [classCount]*classQueue
	count   int
	seq     uint64
	pass    float64 // Pass of the class served last; a class whose queue was empty resumes from it.
}

// classQueue holds the waiters of one class.
type classQueue struct {
	class    Class
	pass     float64 // Virtual time of stride scheduling; grows by 1/weight with each waiter served.
	count    int
	turns    *list.List // Elements are *accountQueue, in round robin order.
	accounts map[string]*list.Element
}

// accountQueue holds the waiters of one account in one class, oldest first.
type accountQueue struct {
	name    string
	waiters []*waiter
}

func newScheduler() *scheduler {
	s := &scheduler{}
	for c := range classCount {
		s.classes[c] = &classQueue{class: c, turns: list.New(), accounts: map[string]*list.Element{}}
	}
	return s
}

func (s *scheduler) empty(c Class) bool { return s.classes[c].count == 0 }

// push appends w to the queue of its account.
func (s *scheduler) push(w *waiter) {
	s.seq++
	w.seq = s.seq
	c := s.classes[w.req.Class]
	if c.count == 0 {
		c.pass = max(c.pass, s.pass)
	}
	e, ok := c.accounts[w.req.Account]
	if !ok {
		e = c.turns.PushBack(&accountQueue{name: w.req.Account})
		c.accounts[w.req.Account] = e
	}
	a := e.Value.(*accountQueue)
	a.waiters = append(a.waiters, w)
	c.count++
	s.count++
}

// pop removes and returns the next waiter of the classes that may run, or returns nil when
// they have none.
func (s *scheduler) pop(mayRun func(Class) bool) *waiter {
	var next *classQueue
	for _, c := range s.classes {
		if c.count > 0 && mayRun(c.class) && (next == nil || c.pass < next.pass) {
			next = c
		}
	}
	if next == nil {
		return nil
	}
	s.pass = next.pass
	next.pass += 1 / classWeights[next.class]
	e := next.turns.Front()
	next.turns.MoveToBack(e)
	w := e.Value.(*accountQueue).waiters[0]
	s.remove(w)
	return w
}

// remove removes w from the queue of its account, at any position.
func (s *scheduler) remove(w *waiter) {
	c := s.classes[w.req.Class]
	e := c.accounts[w.req.Account]
	a := e.Value.(*accountQueue)
	i := slices.Index(a.waiters, w)
	a.waiters = slices.Delete(a.waiters, i, i+1)
	if len(a.waiters) == 0 {
		c.turns.Remove(e)
		delete(c.accounts, a.name)
	}
	c.count--
	s.count--
}

// displace removes and returns the waiter that a full queue evicts in favor of req, or
// returns nil when it evicts none. An urgent request evicts the newest bulk waiter. If there
// is none, and for the other classes, the request evicts the newest waiter of the account
// with the most waiters in its class, provided that this account has more waiters than the
// account of req would have. Without this, one account could fill the queue so that the
// requests of all other accounts are refused.
func (s *scheduler) displace(req Request) *waiter {
	var out *waiter
	if req.Class == Urgent {
		out = s.newestOfClass(Bulk)
	}
	if out == nil {
		out = s.newestOfLargestAccount(req)
	}
	if out != nil {
		s.remove(out)
	}
	return out
}

// newestOfClass returns the waiter of the class that arrived last, or nil when there is none.
func (s *scheduler) newestOfClass(c Class) *waiter {
	var out *waiter
	for e := s.classes[c].turns.Front(); e != nil; e = e.Next() {
		w := lastWaiter(e)
		if out == nil || w.seq > out.seq {
			out = w
		}
	}
	return out
}

// newestOfLargestAccount returns the newest waiter of the account with the most waiters in
// the class of req, or nil when no account has more than that of req would have.
func (s *scheduler) newestOfLargestAccount(req Request) *waiter {
	largest := s.accountWaiting(req) + 1
	var out *waiter
	for e := s.classes[req.Class].turns.Front(); e != nil; e = e.Next() {
		if n := len(e.Value.(*accountQueue).waiters); n > largest {
			largest, out = n, lastWaiter(e)
		}
	}
	return out
}

// lastWaiter returns the newest waiter of the account queue in e.
func lastWaiter(e *list.Element) *waiter {
	a := e.Value.(*accountQueue)
	return a.waiters[len(a.waiters)-1]
}

// accountWaiting returns the number of waiters of the account and class of req.
func (s *scheduler) accountWaiting(req Request) int {
	if e, ok := s.classes[req.Class].accounts[req.Account]; ok {
		return len(e.Value.(*accountQueue).waiters)
	}
	return 0
}

// ahead estimates how many waiters of each class are served before req.
func (s *scheduler) ahead(req Request) (ahead [classCount]int) {
	c := s.classes[req.Class]
	inClass := min(c.count, (s.accountWaiting(req)+1)*c.turns.Len())
	for class, other := range s.classes {
		turns := float64(inClass+1) * classWeights[class] / classWeights[req.Class]
		ahead[class] = min(other.count, int(turns))
	}
	ahead[req.Class] = inClass
	return ahead
}
