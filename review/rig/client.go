package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Answer is what a client got for one try.
type Answer struct {
	Status int // 0: no complete answer
	Seal   string
	Body   string
	Err    error
}

const host = "shop.example"

// try sends one request to the tug of a machine on a connection of its own.
func try(x *Machine, method, path, id, key string, deadline time.Duration) Answer {
	a := exchange(x, method, path, id, key, deadline, nil)
	x.m.rec.Note("client on %s: %s %s, request %s, key %q: status %d, seal %q, error %v", x.Name, method, path, id, key, a.Status, a.Seal, a.Err)
	return a
}

// exchange sends a request with a body and reads the answer meanwhile, up to half a second past the deadline.
func exchange(x *Machine, method, path, id, key string, deadline time.Duration, body []byte) (a Answer) {
	c, err := net.DialTimeout("tcp4", x.Addr(outbound), time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nVioletlatch-Attempt-Id: %s\r\nVioletlatch-Deadline-Remaining: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if key != "" {
		head += "Violetlatch-Operation-Key: " + key + "\r\n"
	}
	if method != "GET" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return Answer{Err: err}
	}
	if len(body) > 0 {
		go c.Write(body) // ends with the connection at the latest
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return Answer{Err: err}
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return Answer{Err: err}
	}
	return Answer{Status: r.StatusCode, Seal: r.Header.Get("Violetlatch-Server-Seal"), Body: string(text)}
}

// item is one resource of a configuration.
func item(kind, name string, version int, spec map[string]any) map[string]any {
	meta := map[string]any{"version": fmt.Sprintf("r%d", version)}
	if name != "" {
		meta["name"] = name
	}
	return map[string]any{"resource-kind": kind, "metadata": meta, "specification": spec}
}

func service(name string, version int) map[string]any {
	return item("services", name, version, map[string]any{"health-path": "/health", "connection-limit": 120, "protocol": "h1", "tls": false, "self-dedup": false})
}

func route(name string, version int, kind, prefix, to string, deadline, target float64) map[string]any {
	return item("routes", name, version, map[string]any{"host": host, "path-prefix": prefix, "route-kind": kind, "deadline-s": deadline, "target-s": target, "priority": 1, "service": to, "max-attempts": 2})
}

// order sends one change to a core machine and returns the status.
func (m *Mesh) order(core int, items ...map[string]any) int {
	body, _ := json.Marshal(map[string]any{"upsert": map[string]any{"resources": items}, "remove": map[string]any{"routes": []any{}}})
	status := call("PATCH", "http://"+m.Cores[core].Addr(control)+"/v1/configuration", body)
	m.rec.Note("operator: change of %d items at %s: answer %d", len(items), m.Cores[core].Name, status)
	return status
}

// orderUntil sends the first change until it is acknowledged.
func (m *Mesh) orderUntil(end time.Time, items ...map[string]any) error {
	for i := 0; time.Now().Before(end); i++ {
		if m.order(i%len(m.Cores), items...) == 200 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the first configuration was not acknowledged")
}

// awaitReady waits until the platform finds the tugs ready.
func (m *Mesh) awaitReady(end time.Time, sides ...*Machine) error {
	for _, x := range sides {
		for call("GET", "http://"+x.Addr(readiness)+"/v1/readiness", nil) != 200 {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", x.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
		m.rec.Note("%s is ready", x.Name)
	}
	return nil
}
