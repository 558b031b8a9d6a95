// Package admin is the operators' address: calls in, yes or no back. It decides nothing and waits for no queue of
// requests: its listener, its descriptors and its time limits are its own. One call comes on a connection, which closes
// with the answer. Start reading at Server.
package admin

import (
	"container/list"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

const (
	// Conns is how many connections are held at the most; beyond that the oldest that has brought no whole call goes.
	Conns = 24
	// callTime is how long a call may take to come: some callers hold a connection for 4 s before they speak.
	callTime   = 6 * time.Second
	answerTime = 2 * time.Second // and its answer to go
	maxHead    = 4 << 10
	maxBody    = 4 << 10 // bytes of a body that are read and ignored
)

// ErrUnknown says that there is no such backend.
var ErrUnknown = errors.New("unknown backend")

// Agent is what the calls act on. Each call returns within a second, and nil only once it is in force.
type Agent interface {
	Ready() error
	Disable(backend string) error
	Enable(backend string) error
	Drain() error
	Resume() error
}

// Server answers the operators.
type Server struct {
	http     *http.Server
	listener *listener
	agent    Agent
	shown    map[string]func() any // by path: answered as JSON
	log      *slog.Logger
}

// Listen returns a server that serves once Serve is called.
func Listen(addr string, agent Agent, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("operator: listen: %w", err)
	}
	s := &Server{listener: &listener{Listener: l, open: list.New()}, agent: agent, log: log}
	s.http = &http.Server{Handler: s, ReadTimeout: callTime, WriteTimeout: callTime + answerTime, MaxHeaderBytes: maxHead,
		ErrorLog:    slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	s.http.SetKeepAlivesEnabled(false)
	return s, nil
}

// Show has a GET of a path answered with what show returns, as JSON. It is called before Serve.
func (s *Server) Show(path string, show func() any) {
	if s.shown == nil {
		s.shown = map[string]func() any{}
	}
	s.shown[path] = show
}

// connKey is that of a call's connection.
type connKey struct{}

// Addr is where it listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve answers calls until Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close ends it, calls under way included.
func (s *Server) Close() error {
	return errors.Join(ignoreClosed(s.http.Close()), ignoreClosed(s.listener.Close())) // the latter for one that never served
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.whole()
	}
	io.CopyN(io.Discard, r.Body, maxBody) // a body says nothing here
	want, do, known := s.call(r.URL.EscapedPath())
	show := s.shown[r.URL.EscapedPath()]
	if show != nil {
		want, known = http.MethodGet, true
	}
	switch {
	case !known:
		answer(w, http.StatusNotFound, "no such call")
	case r.Method != want && !(want == http.MethodGet && r.Method == http.MethodHead):
		w.Header().Set("Allow", want)
		answer(w, http.StatusMethodNotAllowed, want+" wanted")
	case show != nil:
		raw, err := json.Marshal(show())
		if err != nil {
			answer(w, http.StatusInternalServerError, err.Error())
			return
		}
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Type", "application/json")
		w.Write(append(raw, '\n'))
	default:
		err := do()
		switch {
		case err == nil:
			answer(w, http.StatusOK, "ok")
		case errors.Is(err, ErrUnknown):
			answer(w, http.StatusNotFound, err.Error())
		default:
			answer(w, http.StatusServiceUnavailable, err.Error())
		}
		if want == http.MethodPost {
			s.log.Info("operators' call", "call", r.URL.Path, "err", err)
		}
	}
}

// call finds what a path asks for and the method that it wants.
func (s *Server) call(path string) (method string, do func() error, known bool) {
	switch path {
	case "/-/ready":
		return http.MethodGet, s.agent.Ready, true
	case "/-/drain":
		return http.MethodPost, s.agent.Drain, true
	case "/-/resume":
		return http.MethodPost, s.agent.Resume, true
	}
	rest, ok := strings.CutPrefix(path, "/-/backends/")
	if !ok {
		return "", nil, false
	}
	name, verb, ok := strings.Cut(rest, "/")
	id, err := url.PathUnescape(name)
	if !ok || err != nil || id == "" {
		return "", nil, false
	}
	switch verb {
	case "disable":
		return http.MethodPost, func() error { return s.agent.Disable(id) }, true
	case "enable":
		return http.MethodPost, func() error { return s.agent.Enable(id) }, true
	}
	return "", nil, false
}

func answer(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}

// listener gives out Conns connections at the most. Callers that say nothing are let go for those who do.
type listener struct {
	net.Listener
	mu   sync.Mutex
	open *list.List // of *conn, the oldest first
}

// conn is one caller's connection.
type conn struct {
	net.Conn
	of    *listener
	place *list.Element
	call  bool // a whole call has come
	once  sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, of: l}
	l.mu.Lock()
	var victim *conn
	if l.open.Len() >= Conns {
		for e := l.open.Front(); e != nil && victim == nil; e = e.Next() {
			if o := e.Value.(*conn); !o.call {
				victim = o
			}
		}
		if victim == nil { // all are being answered, which takes a second at the most
			victim = c
		}
	}
	c.place = l.open.PushBack(c)
	l.mu.Unlock()
	if victim != nil {
		victim.Close()
	}
	return c, nil
}

func (c *conn) whole() {
	c.of.mu.Lock()
	c.call = true
	c.of.mu.Unlock()
}

func (c *conn) Close() error {
	c.once.Do(func() {
		c.of.mu.Lock()
		c.of.open.Remove(c.place)
		c.of.mu.Unlock()
	})
	return c.Conn.Close()
}
