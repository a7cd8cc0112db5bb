package limit

import (
	"container/list"
	"slices"
)

// weights are the shares of the classes while all of them wait.
var weights = [classCount]float64{Urgent: 8, Normal: 4, Bulk: 1}

// lines orders the waiters: stride scheduling between the classes, round robin
// between the accounts of a class. It is not safe for concurrent use.
type lines struct {
	classes [classCount]*line
	count   int
	seq     uint64
	pass    float64 // Of the class served last; a class that wakes up starts here.
}

// line holds the waiters of one class.
type line struct {
	class    Class
	pass     float64 // Grows by 1/weight with each waiter served.
	count    int
	turns    *list.List // Of *account, the next one to serve in front.
	accounts map[string]*list.Element
}

// account holds the waiters of one account in one class, oldest first.
type account struct {
	name    string
	waiters []*waiter
}

func newLines() *lines {
	l := &lines{}
	for c := range classCount {
		l.classes[c] = &line{class: c, turns: list.New(), accounts: map[string]*list.Element{}}
	}
	return l
}

func (l *lines) empty(c Class) bool { return l.classes[c].count == 0 }

// push adds w behind the waiters of its account.
func (l *lines) push(w *waiter) {
	l.seq++
	w.seq = l.seq
	c := l.classes[w.ask.Class]
	if c.count == 0 {
		c.pass = max(c.pass, l.pass)
	}
	e, ok := c.accounts[w.ask.Account]
	if !ok {
		e = c.turns.PushBack(&account{name: w.ask.Account})
		c.accounts[w.ask.Account] = e
	}
	a := e.Value.(*account)
	a.waiters = append(a.waiters, w)
	c.count++
	l.count++
}

// pop takes out the next waiter among the classes that may run, or returns nil.
func (l *lines) pop(may func(Class) bool) *waiter {
	var next *line
	for _, c := range l.classes {
		if c.count > 0 && may(c.class) && (next == nil || c.pass < next.pass) {
			next = c
		}
	}
	if next == nil {
		return nil
	}
	l.pass = next.pass
	next.pass += 1 / weights[next.class]
	e := next.turns.Front()
	next.turns.MoveToBack(e)
	w := e.Value.(*account).waiters[0]
	l.remove(w)
	return w
}

// remove takes w out, wherever it is.
func (l *lines) remove(w *waiter) {
	c := l.classes[w.ask.Class]
	e := c.accounts[w.ask.Account]
	a := e.Value.(*account)
	i := slices.Index(a.waiters, w)
	a.waiters = slices.Delete(a.waiters, i, i+1)
	if len(a.waiters) == 0 {
		c.turns.Remove(e)
		delete(c.accounts, a.name)
	}
	c.count--
	l.count--
}

// displace takes out the waiter that has to yield to ask in a full queue, or
// returns nil: the newest bulk waiter for an urgent request, else the newest one
// of the account with the most waiters of the same class, when that has more
// than ask's account would have. Otherwise one account could fill the queue and
// have every other account refused.
func (l *lines) displace(ask Request) *waiter {
	var out *waiter
	if ask.Class == Urgent {
		out = l.newest(Bulk)
	}
	if out == nil {
		out = l.greediest(ask)
	}
	if out != nil {
		l.remove(out)
	}
	return out
}

func (l *lines) newest(c Class) *waiter {
	var out *waiter
	for e := l.classes[c].turns.Front(); e != nil; e = e.Next() {
		w := last(e)
		if out == nil || w.seq > out.seq {
			out = w
		}
	}
	return out
}

func (l *lines) greediest(ask Request) *waiter {
	most := l.own(ask) + 1
	var out *waiter
	for e := l.classes[ask.Class].turns.Front(); e != nil; e = e.Next() {
		if n := len(e.Value.(*account).waiters); n > most {
			most, out = n, last(e)
		}
	}
	return out
}

func last(e *list.Element) *waiter {
	a := e.Value.(*account)
	return a.waiters[len(a.waiters)-1]
}

// own returns how many waiters ask's account has in its class.
func (l *lines) own(ask Request) int {
	if e, ok := l.classes[ask.Class].accounts[ask.Account]; ok {
		return len(e.Value.(*account).waiters)
	}
	return 0
}

// ahead returns about how many waiters of each class are served before ask.
func (l *lines) ahead(ask Request) (ahead [classCount]int) {
	c := l.classes[ask.Class]
	inClass := min(c.count, (l.own(ask)+1)*c.turns.Len())
	for class, other := range l.classes {
		turns := float64(inClass+1) * weights[class] / weights[ask.Class]
		ahead[class] = min(other.count, int(turns))
	}
	ahead[ask.Class] = inClass
	return ahead
}
