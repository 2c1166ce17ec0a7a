package dispatch

import "time"

// requestList is a doubly linked list of requests in order of arrival. The links
// are fields of the requests.
type requestList struct {
	head, tail *Request
	size       int
	// work is the sum of the expected running times of the requests in the list.
	work time.Duration
}

func (l *requestList) push(r *Request) {
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

// insert inserts r in order of arrival. A retried request thereby keeps its
// place in the queue.
func (l *requestList) insert(r *Request) {
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

func (l *requestList) remove(r *Request) {
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

// ownerQueues holds the queued requests of one class for one owner. Long
// requests have a list of their own, so that one that may not start yet does not
// block the short requests behind it.
type ownerQueues struct {
	short requestList
	long  requestList
}

func (q *ownerQueues) listFor(r *Request) *requestList {
	if r.long {
		return &q.long
	}
	return &q.short
}

func (q *ownerQueues) work() time.Duration { return q.short.work + q.long.work }

// class holds the queued requests of one priority class.
type class struct {
	rank      int
	limit     int
	ageing    time.Duration
	size      int
	anyTarget ownerQueues
	noOwner   ownerQueues
	byTarget  []ownerQueues
}

func (c *class) queues(owner int) *ownerQueues {
	switch owner {
	case AnyTarget:
		return &c.anyTarget
	case NoOwner:
		return &c.noOwner
	}
	return &c.byTarget[owner]
}

// grow extends byTarget to n targets. Requests point to the list that they are
// in, so the pointers are updated after the lists are copied.
func (c *class) grow(n int) {
	if n <= len(c.byTarget) {
		return
	}
	next := make([]ownerQueues, n)
	copy(next, c.byTarget)
	c.byTarget = next
	for i := range c.byTarget {
		relink(&c.byTarget[i].short)
		relink(&c.byTarget[i].long)
	}
}

// relink sets the list pointer of every request in l.
func relink(l *requestList) {
	for r := l.head; r != nil; r = r.next {
		r.list = l
	}
}

// each calls f for every queued request of the class; f may remove the request.
func (c *class) each(f func(*Request)) {
	eachQueue(&c.anyTarget, f)
	eachQueue(&c.noOwner, f)
	for i := range c.byTarget {
		eachQueue(&c.byTarget[i], f)
	}
}

// eachQueue calls f for every request in q; f may remove the request.
func eachQueue(q *ownerQueues, f func(*Request)) {
	for _, l := range []*requestList{&q.short, &q.long} {
		for r := l.head; r != nil; {
			next := r.next
			f(r)
			r = next
		}
	}
}
