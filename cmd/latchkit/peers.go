package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"saltmast/internal/peers"
)

// peersFor bounds one call; peersAtMost bounds an answer.
const (
	peersFor    = 3 * time.Second
	peersAtMost = 16 << 20
	// peersAtOnce bounds the agents that are asked at a time.
	peersAtOnce = 32
)

// said is what one agent says of the others and of what it holds.
type said struct {
	Addr   string       `json:"addr"`
	Error  string       `json:"error,omitempty"`
	Peers  peers.View   `json:"peers"`
	Shared peers.Shared `json:"shared"`
}

func peersCommand() *cobra.Command {
	asJSON := false
	c := &cobra.Command{
		Use:   "peers ADDRESS...",
		Short: "Hold what several agents know of each other side by side",
		Long: `peers asks agents at their operators' addresses whom they hear, what they counted,
which rights they hold and which backends they leave out on others' word, and
says where they differ. Exit status: 0 they agree, 3 they differ, 1 one gave no
answer, 2 bad usage.`,
		Example: "  latchkit peers 10.0.0.1:9100 10.0.0.2:9100",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, a := range args {
				if _, _, err := net.SplitHostPort(a); err != nil {
					return usage(fmt.Errorf("%q is not host:port", a))
				}
			}
			all := askPeers(cmd.Context(), args)
			differ := differences(all)
			out := cmd.OutOrStdout()
			if asJSON {
				e := json.NewEncoder(out)
				e.SetIndent("", " ")
				if err := e.Encode(map[string]any{"agents": all, "differences": differ}); err != nil {
					return other(err)
				}
			} else {
				peersTable(out, all, differ)
			}
			switch {
			case slices.ContainsFunc(all, func(s said) bool { return s.Error != "" }):
				return &ending{status: statusOther}
			case len(differ) > 0:
				return &ending{status: statusBroke}
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print all as JSON")
	return c
}

func askPeers(ctx context.Context, addrs []string) []said {
	all := make([]said, len(addrs))
	client := &http.Client{Timeout: peersFor, Transport: &http.Transport{DisableKeepAlives: true}}
	places := make(chan struct{}, peersAtOnce)
	var asking sync.WaitGroup
	for i, addr := range addrs {
		asking.Add(1)
		places <- struct{}{}
		go func() {
			defer asking.Done()
			defer func() { <-places }()
			s := &all[i]
			s.Addr = addr
			for path, v := range map[string]any{"/-/peers": &s.Peers, "/-/shared": &s.Shared} {
				if err := getJSON(ctx, client, "http://"+addr+path, v); err != nil {
					s.Error = err.Error()
				}
			}
		}()
	}
	asking.Wait()
	return all
}

func getJSON(ctx context.Context, client *http.Client, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return fmt.Errorf("%s: this agent shares nothing", url)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, peersAtMost)).Decode(v)
}

// differences says where those who answered differ: whom they hear, under which incarnation, and what they leave out. What
// they counted and what they hold differs at any moment, and is shown.
func differences(all []said) (out []string) {
	hears := map[string]map[string]string{} // by member: what each says of it
	leaves := map[string][]string{}
	var who []string
	for _, s := range all {
		if s.Error != "" {
			continue
		}
		name := s.Peers.Self.Name
		who = append(who, name)
		for _, m := range s.Peers.Members {
			word := "lost"
			if m.Alive {
				word = "alive as " + m.Incarnation
			}
			if hears[m.Name] == nil {
				hears[m.Name] = map[string]string{}
			}
			hears[m.Name][name] = word
		}
		for _, backend := range s.Shared.LeftOut() {
			leaves[backend] = append(leaves[backend], name)
		}
	}
	for _, member := range slices.Sorted(maps.Keys(hears)) {
		by := map[string][]string{}
		for _, name := range who {
			word, ok := hears[member][name]
			if !ok {
				word = "unknown"
			}
			by[word] = append(by[word], name)
		}
		if len(by) > 1 {
			var parts []string
			for _, word := range slices.Sorted(maps.Keys(by)) {
				parts = append(parts, word+" to "+strings.Join(by[word], ", "))
			}
			out = append(out, member+" is "+strings.Join(parts, "; "))
		}
	}
	for _, backend := range slices.Sorted(maps.Keys(leaves)) {
		if len(leaves[backend]) < len(who) {
			out = append(out, fmt.Sprintf("%s is left out by %s, not by all", backend, strings.Join(leaves[backend], ", ")))
		}
	}
	return out
}

func peersTable(w io.Writer, all []said, differ []string) {
	fmt.Fprintf(w, "%-22s  %-12s  %-16s  %-5s  %-5s  %-7s  %-20s  %s\n", "address", "agent", "incarnation", "alive", "lost", "turn", "retries held of own", "leaves out")
	for _, s := range all {
		if s.Error != "" {
			fmt.Fprintf(w, "%-22s  %s\n", s.Addr, s.Error)
			continue
		}
		held := "-"
		if r := s.Shared.Retries; r != nil {
			held = fmt.Sprintf("%.2f of %.2f", float64(r.Held)/1000, float64(r.Home)/1000)
		}
		fmt.Fprintf(w, "%-22s  %-12s  %-16s  %-5d  %-5d  %-7d  %-20s  %s\n", s.Addr, s.Peers.Self.Name, s.Peers.Self.Incarnation, s.Peers.Alive,
			len(s.Peers.Members)-s.Peers.Alive, s.Shared.Turn, held, strings.Join(s.Shared.LeftOut(), " "))
	}
	if len(differ) == 0 {
		fmt.Fprintln(w, "they agree on who lives and what is left out")
	}
	for _, d := range differ {
		fmt.Fprintln(w, "differ:", d)
	}
}
