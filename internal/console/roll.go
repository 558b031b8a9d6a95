package console

import (
	"fmt"
	"io"
	"strings"
	"time"

	"saltmast/internal/consensus"
	"saltmast/internal/errcode"
	"saltmast/internal/messages"
	"saltmast/internal/rpc"
)

// rollArgs are those of the one command that changes something.
type rollArgs struct {
	Voters  []string `arg:"positional" placeholder:"NODE" help:"all that shall count"`
	Replace []string `arg:"--replace,separate" placeholder:"OLD=NEW" help:"have one take another's place; may come several times"`
	Dry     bool     `arg:"--dry" help:"tell what would be done"`
}

// rollWait bounds a change of the roll, with all its tries.
const rollWait = 8 * time.Second

// change asks the first harbourmaster that answers for another roll. One that was asked and breaks off may have changed it: no
// other is asked then.
func (r *rollArgs) change(at []string, out io.Writer, wrong func(string, ...any) int) int {
	call := messages.ChangeVotersCall{Voters: r.Voters, DryRun: r.Dry}
	for _, x := range r.Replace {
		old, by, ok := strings.Cut(x, "=")
		if !ok || old == "" || by == "" {
			return wrong("--replace: OLD=NEW wanted, got %q", x)
		}
		call.Replace = append(call.Replace, [2]string{old, by})
	}
	if len(call.Voters)+len(call.Replace) == 0 {
		return wrong("roll: nodes or --replace wanted")
	}
	for _, addr := range at {
		c := rpc.NewClient(nil, addr)
		var t messages.ChangeVotersReply
		err := c.Call(messages.ChangeVoters, call, &t, rollWait)
		c.Close()
		switch {
		case errcode.Of(err) == errcode.Unreachable:
			continue
		case err != nil:
			return wrong("%s: %v; whether the roll was changed can't be told", addr, err)
		}
		fmt.Fprintf(out, "was epoch %d: %s\n", t.Previous.Epoch, nodes(t.Previous))
		switch {
		case t.Error != "":
			return wrong("not changed: %s", t.Error)
		case r.Dry:
			fmt.Fprintf(out, "would be epoch %d: %s\n", t.VoterSet.Epoch, nodes(t.VoterSet))
		default:
			fmt.Fprintf(out, "is epoch %d: %s, after %d ms\n", t.VoterSet.Epoch, nodes(t.VoterSet), t.TookMs)
			if n := len(t.VoterSet.Voters); t.Active < consensus.Majority(n) {
				return wrong("%d of its %d voters hold the books yet: leave those that are replaced as they are until a majority does", t.Active, n)
			}
		}
		return exitGood
	}
	return wrong("no harbourmaster answers at %s", strings.Join(at, ", "))
}

// nodes are the voters of a roll, those that founded it by their addresses.
func nodes(r messages.VoterSet) string {
	var out []string
	for _, v := range r.Voters {
		if v.Name == v.Addr {
			out = append(out, v.Addr)
		} else {
			out = append(out, v.Name+" ("+v.Addr+")")
		}
	}
	return strings.Join(out, ", ")
}
