package checker

import (
	"fmt"
	"time"
)

// Copy is one sending of an order of the operator to one agent.
type Copy struct {
	Order     int // the same for all copies of one
	Items     []Item
	Agent     string
	Sent, End time.Duration
	Status    int // 0: no answer
}

func (c *Copy) acknowledged() bool { return c.Status/100 == 2 }

// refused: the answer is a clear no.
func (c *Copy) refused() bool {
	return c.Status/100 == 4 && c.Status != 408 && c.Status != 429
}

func (c *Copy) line() string {
	var names []string
	for _, i := range c.Items {
		names = append(names, fmt.Sprintf("%s %s r%d %s", i.Kind, i.Name, i.Version, i.Spec))
	}
	return fmt.Sprintf("order %d at %s: %.4f -> %.4f status %d: %v", c.Order, c.Agent, c.Sent.Seconds(), c.End.Seconds(), c.Status, names)
}

// AddCopy notes a copy once it has ended.
func (l *Log) AddCopy(c *Copy) { l.mu.Lock(); defer l.mu.Unlock(); l.Copies = append(l.Copies, c) }

// tellSlack is the time between an answer's cause and its coming: an order that is sent anew in it may find a later state.
const tellSlack = 10 * time.Millisecond

// anew reports whether c was sent behind a refusal.
func (c *Copy) anew(no *Copy) bool { return c.Sent > no.Sent && c.Sent > no.End-tellSlack }

// numbers: a number is confirmed with one content, an order that was taken is never refused, and one that was refused is in force
// only if it was sent anew since.
func (j *judge) numbers() {
	type number struct {
		kind, name string
		version    int
	}
	type content struct {
		Item
		by *Copy
	}
	confirmed := map[number][]content{}
	orders := map[int][]*Copy{}
	for _, c := range j.Copies {
		orders[c.Order] = append(orders[c.Order], c)
		if !c.acknowledged() {
			continue
		}
		for _, i := range c.Items {
			n := number{i.Kind, i.Name, i.Version}
			known := false
			for _, o := range confirmed[n] {
				if o.Dropped == i.Dropped && (i.Dropped || sameJSON(o.Spec, i.Spec)) {
					known = true
				} else if o.by.Order != c.Order {
					j.breaks("NUMBER", c.End, fmt.Sprintf("two contents of %s %s r%d were confirmed", i.Kind, i.Name, i.Version), o.by.line(), c.line())
				}
			}
			if !known {
				confirmed[n] = append(confirmed[n], content{i, c})
			}
		}
	}
	read := map[number]Item{}
	for _, i := range j.Read {
		read[number{i.Kind, i.Name, i.Version}] = i
	}
	for _, copies := range orders {
		for _, no := range copies {
			if !no.refused() {
				continue
			}
			anew := false
			for _, c := range copies {
				anew = anew || c.anew(no)
				if c.acknowledged() && !c.anew(no) {
					j.breaks("NUMBER", no.End, "an order that was taken was refused", c.line(), no.line())
				}
			}
			if anew {
				continue
			}
			for _, i := range no.Items {
				got, ok := read[number{i.Kind, i.Name, i.Version}]
				if ok && sameJSON(got.Spec, i.Spec) && !j.elsewhere(no, i) {
					j.breaks("NUMBER", j.End, "what was refused is in force", no.line())
				}
			}
		}
	}
}

// elsewhere reports whether another order had the same content of a number.
func (j *judge) elsewhere(no *Copy, item Item) bool {
	for _, c := range j.Copies {
		for _, i := range c.Items {
			if c.Order != no.Order && i.Kind == item.Kind && i.Name == item.Name && i.Version == item.Version && sameJSON(i.Spec, item.Spec) {
				return true
			}
		}
	}
	return false
}
