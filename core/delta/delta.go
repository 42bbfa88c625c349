// Package delta computes and applies the difference between two versions of a list, so
// that the size of a change does not grow with the list. It performs no I/O.
package delta

import "fmt"

// RangeError reports a difference that refers to items which the old list does not have.
type RangeError struct {
	// From and Count are the items that are referred to, Len the length of the list.
	From, Count, Len int
}

func (e *RangeError) Error() string {
	return fmt.Sprintf("delta: items %d to %d of a list of %d items do not exist", e.From, e.From+e.Count, e.Len)
}

// Segment is a part of a new list: Count items of the old list from index From on,
// followed by the items in Put.
type Segment[T any] struct {
	From  int `json:"from,omitempty"`
	Count int `json:"count,omitempty"`
	Put   []T `json:"put,omitempty"`
}

// List is the difference between two lists. Its segments yield the new list in order.
type List[T any] []Segment[T]

// Make returns the difference that turns old into next. Items with equal keys are compared
// by equal; of several old items with one key, only the last is found out of order.
func Make[T any, K comparable](old, next []T, key func(T) K, equal func(a, b T) bool) List[T] {
	indexes := make(map[K]int, len(old))
	for i, item := range old {
		indexes[key(item)] = i
	}
	var out List[T]
	for _, item := range next {
		// The item after the previous one is the most likely match, and extends its run.
		if i := out.end(); i < len(old) && equal(old[i], item) {
			out = out.keep(i)
			continue
		}
		if i, ok := indexes[key(item)]; ok && equal(old[i], item) {
			out = out.keep(i)
			continue
		}
		out = out.put(item)
	}
	return out
}

// end returns the index after the last old item that l refers to.
func (l List[T]) end() int {
	if len(l) == 0 {
		return 0
	}
	last := l[len(l)-1]
	return last.From + last.Count
}

// keep appends the old item at index i.
func (l List[T]) keep(i int) List[T] {
	if n := len(l); n > 0 && len(l[n-1].Put) == 0 && l.end() == i {
		l[n-1].Count++
		return l
	}
	return append(l, Segment[T]{From: i, Count: 1})
}

// put appends a new item.
func (l List[T]) put(item T) List[T] {
	if len(l) == 0 {
		l = append(l, Segment[T]{})
	}
	last := &l[len(l)-1]
	last.Put = append(last.Put, item)
	return l
}

// Apply returns the new list. An error is of type *RangeError.
func (l List[T]) Apply(old []T) ([]T, error) {
	size := 0
	for _, s := range l {
		if s.From < 0 || s.Count < 0 || s.From > len(old) || s.Count > len(old)-s.From {
			return nil, &RangeError{s.From, s.Count, len(old)}
		}
		size += s.Count + len(s.Put)
	}
	out := make([]T, 0, size)
	for _, s := range l {
		out = append(out, old[s.From:s.From+s.Count]...)
		out = append(out, s.Put...)
	}
	return out, nil
}
