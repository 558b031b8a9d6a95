package console

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/proxy"
	"saltmast/internal/registry"
	"saltmast/internal/rpc"
	"saltmast/internal/settings"
	"saltmast/internal/simulation/network"
	"saltmast/internal/store"
)

func encode(v any) []byte { return rpc.Encode(v) }

// The programs themselves, on a network in memory: all are found from one harbourmaster, agree, and one that dies is shown.
func TestRealMesh(t *testing.T) {
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	synctest.Test(t, func(t *testing.T) {
		s := network.New(1)
		log := func(string, string) {}
		settings := func(name, ip, zone string) *settings.Settings {
			return &settings.Settings{NodeName: name, IP: ip, Zone: zone, Ports: [2]int{7380, 7395}, Heartbeat: time.Second, Bounds: settings.DefaultBounds(),
				Bootstrap: true, MemoryMB: 100, Seeds: []string{"10.1.0.2:80", "10.2.0.2:80", "10.3.0.2:80"},
				Listen: map[string]string{"control-plane": net.JoinHostPort(ip, "9100"), "outbound": net.JoinHostPort(ip, "9101")}}
		}
		var ends []func()
		for i, dir := range dirs {
			ip := fmt.Sprintf("10.%d.0.2", i+1)
			m := s.Machine(ip, fmt.Sprint("zone-", i+1))
			c := settings(fmt.Sprint("core-", i+1), ip, m.Zone)
			c.DataDir, c.DiskMB = dir, 64
			p, h := m.Start(), m.Start()
			pr, err := store.Launch(c, log, p, nil)
			if err != nil {
				t.Fatal(err)
			}
			hr, err := registry.Launch(c, log, h)
			if err != nil {
				t.Fatal(err)
			}
			ends = append(ends, func() { p.End(); h.End(); hr.Stop(0); pr.Stop(0) })
		}
		m := s.Machine("10.1.0.10", "zone-1")
		p := m.Start()
		g, err := proxy.Start(settings("side-1", m.IP, m.Zone), log, p)
		if err != nil {
			t.Fatal(err)
		}
		console := s.Machine("10.9.0.9", "zone-1").Start()
		time.Sleep(2 * time.Second)
		post(t, console, "10.2.0.2:9100", `{"upsert": {"resources": [{"resource-kind": "services", "metadata": {"name": "pump", "version": "r4"}, "specification": {}}]}}`)
		time.Sleep(2 * time.Second)

		k := &Asker{Net: console, At: []string{"10.2.0.2:7380"}, Wait: time.Second}
		var memory Memory
		l := k.Look()
		pic := Draw(l, memory.Note(l))
		if !pic.Good() || len(l.Agents) != 7 {
			t.Errorf("%s", pic.Text())
		}
		for i, want := range []string{"harbourmaster core-1", "harbourmaster core-2", "harbourmaster core-3", "purser core-1", "purser core-2", "purser core-3",
			"tug side-1"} {
			a := l.Agents[i]
			if a.Name() != want || len(a.Told.Items) != 1 || a.Told.Items[0].Version != 4 || a.Told.Epoch != 1 || a.Told.UpMs < 3900 || len(a.Told.Counts) == 0 {
				t.Errorf("%s: %+v", want, a.Told)
			}
		}
		own := l.Agents[6].Told.Proxy
		if !own.Ready || own.RegistryAddr == "" || own.RegistryMs > 1200 || own.RetryTokens != 500 || l.Agents[6].Told.BackendsTotal != 1 {
			t.Errorf("%+v", own)
		}
		if h := l.Agents[0].Told.Registry; len(h.Registries) != 3 || len(h.ServingMs) != 3 || h.FreshMs > 600 {
			t.Errorf("%+v", h)
		}
		if u := l.Agents[3].Told.Store; u.State != "serving" || u.VoterIndex != 0 || u.Accepted != l.Agents[3].Told.Chosen {
			t.Errorf("%+v", u)
		}

		p.End()
		g.Kill()
		began := time.Now()
		l = k.Look()
		if l.Agents[6].Told != nil || l.Answered() != 6 || time.Since(began) > 1100*time.Millisecond {
			t.Errorf("after %v: %s", time.Since(began), Draw(l, memory.Note(l)).Text())
		}
		k.Close()
		console.End()
		for _, end := range ends {
			end()
		}
		time.Sleep(10 * time.Second) // what was ended comes to its end
	})
}

func post(t *testing.T, on *network.Process, addr, body string) {
	t.Helper()
	c, err := on.Dial(context.Background(), addr, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "PATCH /v1/configuration HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", addr, len(body), body)
	b := make([]byte, 12)
	if _, err := c.Read(b); err != nil || string(b) != "HTTP/1.1 200" {
		t.Fatalf("%s: %v", b, err)
	}
}
