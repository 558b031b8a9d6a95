// Command latchkit is the kit that ships with violetlatch: rehearsals of bad mornings on one machine. Its
// subcommands stand in files of their own, with flags and printing only.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"saltmast/internal/daemon"
	"saltmast/internal/measure"
	"saltmast/internal/naive"
	"saltmast/internal/shared"
)

// Statuses of the program.
const (
	statusOK    = 0
	statusOther = 1
	statusUsage = 2
	statusBroke = 3
	statusVoid  = 4
)

// ending is an error that says which status to exit with. Without a text nothing more is printed.
type ending struct {
	status int
	err    error
}

func (e *ending) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

func (e *ending) Unwrap() error { return e.err }

func usage(err error) error { return &ending{statusUsage, err} }

func main() { os.Exit(run()) }

func run() int {
	// The kit as an agent: it takes the process for itself, and hears of signals from the first moment on.
	if len(os.Args) >= 2 && os.Args[1] == "agent" {
		return daemon.Main(os.Args[2:])
	}
	if len(os.Args) >= 3 && os.Args[1] == "part" { // of a scale run, as a process of its own
		return partMain(os.Args[2], os.Args[3:])
	}
	if len(os.Args) >= 3 && os.Args[1] == "naive" {
		if w, ok := shared.Flaws[os.Args[2]]; ok { // a real one with a mistake in what it shares
			return daemon.MainWrong(os.Args[3:], w)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop) // a second Ctrl-C ends the kit at once, and its agents with it
	err := root().ExecuteContext(ctx)
	if err == nil {
		return statusOK
	}
	var e *ending
	if !errors.As(err, &e) {
		e = &ending{statusUsage, err} // cobra's own: unknown commands and flags
	}
	if text := e.Error(); text != "" {
		fmt.Fprintln(os.Stderr, "latchkit:", text)
	}
	return e.status
}

func root() *cobra.Command {
	c := &cobra.Command{
		Use:   "latchkit",
		Short: "Rehearse bad mornings of violetlatch agents on one machine",
		Long: `latchkit starts stand-in servers, a stand-in server list, real agents and their
clients on this machine's loopback addresses, makes things go wrong, and grades
the run by the four rules. Exit status: 0 the rules were kept, 3 a rule broke,
4 the run is void (the kit itself was late), 2 bad usage, 1 anything else.`,
		SilenceErrors: true, SilenceUsage: true,
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("unknown command %q; latchkit help lists them", args[0])
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error { return cmd.Help() },
	}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage(err) })
	c.AddCommand(rehearseCommand(), gradeCommand(), proveCommand(), capacityCommand(), measureCommand(), settlesCommand(), recordingCommand(), replayCommand(), labCommand(), fleetCommand(), peersCommand(), drydockCommand(), daysCommand(), scaleCommand(), voyageCommand(),
		&cobra.Command{Use: "peer KIND LISTEN SERVER", Hidden: true, Short: "run as a proxy to measure against", Args: cobra.ExactArgs(3),
			RunE: func(_ *cobra.Command, args []string) error { return other(measure.Peer(args[0], args[1], args[2])) }},
		&cobra.Command{Use: "naive KIND", Hidden: true, Short: "run as an agent with a flaw", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error {
				if err := naive.Run(args[0]); err != nil {
					return &ending{statusOther, err}
				}
				return nil
			}})
	return c
}
