package discovery

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"saltmast"
)

// Shared lets several modules follow one list, each its own part of it, with one watch and one call for all of them.
type Shared struct {
	client *Client

	mu        sync.Mutex
	followers []*Follower
	asked     bool // a watch was asked for, and has not failed since
	live      bool // it has brought something
	list      map[string]saltmast.Backend
}

// Follower is one module's view of a shared list. It implements the core's Lists.
type Follower struct {
	of    *Shared
	mine  func(saltmast.Backend) bool
	post  func(saltmast.Event)
	order sync.Mutex      // orders what is posted, from reading the list to posting; held while posting
	wants bool            // it has subscribed
	ids   map[string]bool // what it was told of
}

// NewShared returns a shared list; known is the list as last known. Use its Post as the client's, then Drive.
func NewShared(known saltmast.List) *Shared {
	s := &Shared{list: map[string]saltmast.Backend{}}
	s.apply(known)
	return s
}

// Drive names the client that follows the list.
func (s *Shared) Drive(c *Client) { s.client = c }

// Follow adds a module, which gets those servers that mine accepts. It was told of its part of the known list.
func (s *Shared) Follow(mine func(saltmast.Backend) bool, post func(saltmast.Event)) *Follower {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &Follower{of: s, mine: mine, post: post, ids: map[string]bool{}}
	for id, b := range s.list {
		if mine(b) {
			f.ids[id] = true
		}
	}
	s.followers = append(s.followers, f)
	return f
}

// Part is a follower's part of a list.
func Part(l saltmast.List, mine func(saltmast.Backend) bool) saltmast.List {
	part := saltmast.List{Kind: l.Kind}
	for _, b := range l.Backends {
		if mine(b) {
			part.Backends = append(part.Backends, b)
		}
	}
	return part
}

func (s *Shared) apply(l saltmast.List) {
	if l.Kind != saltmast.ListDelta {
		clear(s.list)
	}
	for _, b := range l.Backends {
		if b.State == saltmast.Gone {
			delete(s.list, b.ID)
		} else {
			s.list[b.ID] = b
		}
	}
}

// Post takes what the client brings and hands each follower its part. A change of a server that no longer is a
// follower's reaches it as that server's end.
func (s *Shared) Post(e saltmast.Event) {
	l, ok := e.(saltmast.List)
	if !ok {
		return
	}
	s.mu.Lock()
	if l.Kind == saltmast.ListFailed {
		s.asked, s.live = false, false
	} else {
		s.live = s.asked
		s.apply(l)
	}
	s.mu.Unlock()
	for _, f := range s.followers {
		f.order.Lock()
		part := l
		if l.Kind != saltmast.ListFailed {
			s.mu.Lock()
			part = f.part(l)
			s.mu.Unlock()
		}
		f.post(part) // a module's queue may be full: the list is not held meanwhile
		f.order.Unlock()
	}
}

// part is a follower's part of a list. The caller holds s.mu.
func (f *Follower) part(l saltmast.List) saltmast.List {
	part := saltmast.List{Kind: l.Kind}
	if l.Kind != saltmast.ListDelta {
		clear(f.ids)
	}
	for _, b := range l.Backends {
		switch {
		case b.State != saltmast.Gone && f.mine(b):
			f.ids[b.ID] = true
		case f.ids[b.ID]:
			delete(f.ids, b.ID)
			b.State = saltmast.Gone
		default:
			continue
		}
		part.Backends = append(part.Backends, b)
	}
	return part
}

// Subscribe starts the one watch, or answers at once from what it has brought.
func (f *Follower) Subscribe(ctx context.Context) {
	s := f.of
	s.mu.Lock()
	f.wants = true
	if s.live {
		s.mu.Unlock()
		go f.catchUp() // a loop calls this, and must not wait for its own queue
		return
	}
	ask := !s.asked
	s.asked = true
	s.mu.Unlock()
	if ask {
		s.client.Subscribe(ctx)
	}
}

// catchUp posts the whole list as it is.
func (f *Follower) catchUp() {
	f.order.Lock()
	defer f.order.Unlock()
	s := f.of
	s.mu.Lock()
	l := saltmast.List{Kind: saltmast.ListFull}
	for _, b := range s.list {
		l.Backends = append(l.Backends, b)
	}
	slices.SortFunc(l.Backends, func(a, b saltmast.Backend) int { return cmp.Compare(a.ID, b.ID) })
	l = f.part(l)
	s.mu.Unlock()
	f.post(l)
}

// Unsubscribe ends the watch once nobody wants it.
func (f *Follower) Unsubscribe() {
	s := f.of
	s.mu.Lock()
	f.wants = false
	for _, x := range s.followers {
		if x.wants {
			s.mu.Unlock()
			return
		}
	}
	s.asked, s.live = false, false
	s.mu.Unlock()
	s.client.Unsubscribe()
}

// Fetch asks for the whole list once; all followers get their part.
func (f *Follower) Fetch(ctx context.Context) { f.of.client.Fetch(ctx) }

// Move turns to another address.
func (f *Follower) Move(ctx context.Context, addr string) { f.of.client.Move(ctx, addr) }
