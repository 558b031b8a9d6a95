// Package daemon is the agent as a program: its configuration, signals and wiring. It stands apart from the
// command, so that the kit can start itself again as an agent where no violetlatch stands beside it. It may
// use the floors below the kit and nothing of the kit: its memory is counted. Start reading at Run.
package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"saltmast/internal/agent"
	"saltmast/internal/config"
	"saltmast/internal/shared"
)

// Main runs one agent and returns the status to exit with: 0 after a stop that was asked for, 2 for flags that make no
// sense, 1 otherwise, with one line on standard error.
func Main(args []string) int { return MainWrong(args, shared.Right) }

// MainWrong is Main for an agent that makes a mistake in what it shares. The kit alone starts one.
func MainWrong(args []string, w shared.Wrong) int {
	fl := flag.NewFlagSet("violetlatch", flag.ContinueOnError)
	fl.Usage = func() {
		fmt.Fprintln(fl.Output(), "usage: violetlatch [-operator FILE] [-check]\n\nGW_CONFIG names the platform's configuration. Flags:")
		fl.PrintDefaults()
	}
	operator := fl.String("operator", "", "the operator's own `file`, TOML")
	check := fl.Bool("check", false, "check the files and start nothing")
	switch err := fl.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return 0
	case err != nil:
		return 2
	case fl.NArg() > 0:
		fmt.Fprintf(os.Stderr, "violetlatch: unexpected argument %q\n", fl.Arg(0))
		return 2
	}
	var err error
	if *check {
		err = checkFiles(*operator)
	} else {
		err = run(*operator, w)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "violetlatch:", err)
		return 1
	}
	return 0
}

// checkFiles reads what a start would read. Without a configuration the operator's file is checked by itself.
func checkFiles(operator string) error {
	path := os.Getenv("GW_CONFIG")
	if path == "" && operator == "" {
		return errors.New("nothing to check: neither GW_CONFIG nor -operator names a file")
	}
	if path == "" {
		_, err := config.LoadOperator(operator, nil, nil)
		if err == nil {
			fmt.Println(operator + ": ok, but for its classes: GW_CONFIG names no configuration")
		}
		return err
	}
	if _, err := load(path, operator); err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}

// load reads the platform's configuration and the operator's file, if there is one.
func load(path, operator string) (*config.Config, error) {
	c, err := config.Load(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if operator != "" {
		if c.Operator, err = config.LoadOperator(operator, c.Names.Classes, c.Settings.Classes); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// reread reads for a running agent what load reads for a new one. The operator's file counts as far as it names classes;
// its addresses and folders wait for the next start.
func reread(path, operator string, running *config.Config) (*config.Config, error) {
	c, err := config.Reread(path, running)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if operator == "" {
		return c, nil
	}
	if c.Operator, err = config.LoadOperator(operator, c.Names.Classes, c.Settings.Classes); err != nil {
		return nil, err
	}
	if old, now := running.Operator, c.Operator; (old.Thrift == nil) != (now.Thrift == nil) || (old.Settles == nil) != (now.Settles == nil) || (old.Peers == nil) != (now.Peers == nil) {
		return nil, fmt.Errorf("%s: a section came or went, which waits for the next start", operator)
	}
	return c, nil
}

// Run serves as the file that GW_CONFIG names says, and the operator's file, if one is named, until SIGTERM or SIGINT, and finishes what was taken
// within 3.2 s. It takes the process for itself: signals, the number of threads, the collector's bounds.
func Run(operator string) error { return run(operator, shared.Right) }

func run(operator string, w shared.Wrong) error {
	// From the first moment on: unheard, the signal would end the process.
	again := make(chan os.Signal, 1) // signals that come while one is worked on make one more
	signal.Notify(again, syscall.SIGHUP)
	runtime.GOMAXPROCS(1) // an agent has one core, which it may share
	path := os.Getenv("GW_CONFIG")
	if path == "" {
		return errors.New("GW_CONFIG names no configuration file")
	}
	c, err := load(path, operator)
	if err != nil {
		return err
	}
	if c.Operator != nil && c.Operator.Settles != nil {
		// A sync holds the thread that runs it, and the only one that may run with it, until the runtime notices: the loop would
		// wait for the disk. The second is for that alone; the share of a core stays what it was.
		runtime.GOMAXPROCS(2)
	}
	debug.SetGCPercent(150) // a small heap: it may well double, and stays far below the limit
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(config.HeapLimit(c.MemoryMB, 1))
	}
	log := slog.New(agent.Sparing(slog.NewTextHandler(os.Stderr, nil))).With("agent", c.Name)
	a, err := agent.NewWrong(c, log, w)
	if err != nil {
		return err
	}
	stop, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer release()
	go func() { // one after the other: of many signals the last finds the newest file
		for range again {
			n, err := reread(path, operator, c)
			if err != nil {
				log.Warn("the old configuration stays", "err", err)
				continue
			}
			a.Reload(n)
			c = n
		}
	}()
	log.Info("serving", "listen", a.Addr().String())
	if addr := a.ThriftAddr(); addr != nil {
		log.Info("serving", "protocol", "thrift", "listen", addr.String())
	}
	return a.Run(stop)
}
