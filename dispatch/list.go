package dispatch

import "time"

// list is a queue of requests in order of arrival, linked through the requests.
type list struct {
	head, tail *Request
	size       int
	// work is the expected running time of all requests in the list.
	work time.Duration
}

func (l *list) push(r *Request) {
	r.list = l
	r.next = nil
	r.prev = l.tail
	if l.tail != nil {
		l.tail.next = r
	} else {
		l.head = r
	}
	l.tail = r
	l.size++
	l.work += r.expected
}

// insert puts r at the place that its arrival gives it; used for retries.
func (l *list) insert(r *Request) {
	after := l.tail
	for after != nil && after.arrived.After(r.arrived) {
		after = after.prev
	}
	if after == l.tail {
		l.push(r)
		return
	}
	r.list = l
	r.prev = after
	if after == nil {
		r.next = l.head
		l.head = r
	} else {
		r.next = after.next
		after.next = r
	}
	r.next.prev = r
	l.size++
	l.work += r.expected
}

func (l *list) remove(r *Request) {
	if r.prev != nil {
		r.prev.next = r.next
	} else {
		l.head = r.next
	}
	if r.next != nil {
		r.next.prev = r.prev
	} else {
		l.tail = r.prev
	}
	r.next, r.prev, r.list = nil, nil, nil
	l.size--
	l.work -= r.expected
}

// lists are the queues of one class for one owner: short and long work apart,
// so that long work that may not start does not hide short work behind it.
type lists struct {
	short list
	long  list
}

func (ls *lists) of(r *Request) *list {
	if r.long {
		return &ls.long
	}
	return &ls.short
}

func (ls *lists) work() time.Duration { return ls.short.work + ls.long.work }

// class is the waiting work of one class.
type class struct {
	rank   int
	limit  int
	ageing time.Duration
	size   int
	shared lists
	orphan lists
	bound  []lists
}

func (c *class) lists(owner int) *lists {
	switch owner {
	case AnyTarget:
		return &c.shared
	case NoOwner:
		return &c.orphan
	}
	return &c.bound[owner]
}

// grow makes room for n targets. Requests point at the lists they are in, so
// the slice may only be replaced together with those pointers.
func (c *class) grow(n int) {
	if n <= len(c.bound) {
		return
	}
	next := make([]lists, n)
	copy(next, c.bound)
	c.bound = next
	for i := range c.bound {
		relink(&c.bound[i].short)
		relink(&c.bound[i].long)
	}
}

func relink(l *list) {
	for r := l.head; r != nil; r = r.next {
		r.list = l
	}
}

// each calls f for every waiting request of the class; f may remove the request.
func (c *class) each(f func(*Request)) {
	eachOf(&c.shared, f)
	eachOf(&c.orphan, f)
	for i := range c.bound {
		eachOf(&c.bound[i], f)
	}
}

func eachOf(ls *lists, f func(*Request)) {
	for _, l := range []*list{&ls.short, &ls.long} {
		for r := l.head; r != nil; {
			next := r.next
			f(r)
			r = next
		}
	}
}
