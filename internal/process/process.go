// Package process implements what all programs of the mesh have in common: command line, loading and reloading of settings,
// signals and logging. See Main. What a program does is implemented in its own package.
package process

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/phuslu/log"

	"saltmast/internal/settings"
)

// Version is the version of all programs.
const Version = "0.1.0"

// Program describes one program.
type Program struct {
	Name          string
	Description   string
	Start         func(s *settings.Settings, log func(event, text string)) (Running, error)
	FinalCounters bool // log the counters once more after Stop
}

// Running is a started program.
type Running interface {
	Reload(s *settings.Settings) // called when the settings file has changed
	Counts() map[string]int64    // counters for the periodic log line
	Stop(grace time.Duration)    // shuts down gracefully within the given time
}

type checkArgs struct {
	File string `arg:"positional,required" help:"a settings file"`
}

type args struct {
	Check   *checkArgs `arg:"subcommand:check" help:"check a settings file and say what is wrong with it"`
	Counter float64    `arg:"--counters" default:"10" placeholder:"SECONDS" help:"between two lines of counters in the log; 0 for none"`
	about   string
}

func (a args) Description() string { return a.about }
func (args) Version() string       { return "violetlatch " + Version }

// watchInterval is the interval at which the settings file is checked for changes not announced by SIGHUP.
const watchInterval = 2 * time.Second

// Main runs a program until it is stopped and returns its exit status: 0 after a signal to stop, 1 if it could not start, 2 for
// an invalid command line.
func Main(p Program, argv []string) int {
	a := args{about: p.Description}
	parser, err := arg.NewParser(arg.Config{Program: p.Name, Out: os.Stdout}, &a)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	switch err := parser.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelpForSubcommand(os.Stdout, parser.SubcommandNames()...)
		return 0
	case errors.Is(err, arg.ErrVersion):
		fmt.Println(a.Version())
		return 0
	case err != nil:
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		return 2
	case !(a.Counter >= 0) || math.IsInf(a.Counter, 0):
		fmt.Fprintf(os.Stderr, "%s: --counters: seconds wanted, got %v\n", p.Name, a.Counter)
		return 2
	}
	if a.Check != nil {
		if _, err := settings.Load(a.Check.File); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		fmt.Println(a.Check.File + ": good")
		return 0
	}
	stop := make(chan os.Signal, 4)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) // before anything else: unhandled, these signals kill the process
	path := settings.Path()
	watch := settings.NewWatch(path)
	s, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB * 0.6 * (1 << 20)))
	}
	l := &log.Logger{Level: log.InfoLevel, TimeFormat: log.TimeFormatUnixMs, Writer: log.IOWriter{Writer: os.Stderr}}
	logEvent := func(event, text string) { l.Info().Str("event", event).Msg(text) }
	r, err := p.Start(s, logEvent)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		return 1
	}
	logEvent("started", p.Name+" "+Version+" on "+s.NodeName)
	poll := time.NewTicker(watchInterval)
	defer poll.Stop()
	var count <-chan time.Time
	if a.Counter > 0 {
		t := time.NewTicker(time.Duration(a.Counter * float64(time.Second)))
		defer t.Stop()
		count = t.C
	}
	reload := func() {
		n, err := settings.Load(path)
		if err != nil { // continue with the old settings
			logEvent("settings", err.Error())
			return
		}
		logEvent("settings", "changed")
		r.Reload(n)
	}
	counters := func() {
		e := l.Info().Str("event", "counters")
		for k, v := range r.Counts() {
			e = e.Int64(k, v)
		}
		e.Msg("")
	}
	for {
		select {
		case sig := <-stop:
			if sig == syscall.SIGHUP {
				watch.Changed()
				reload()
				continue
			}
			logEvent("stopping", sig.String())
			r.Stop(s.Bounds.Grace - 500*time.Millisecond)
			if a.Counter > 0 && p.FinalCounters {
				counters()
			}
			logEvent("stopped", p.Name)
			return 0
		case <-poll.C:
			if watch.Changed() {
				reload()
			}
		case <-count:
			counters()
		}
	}
}

// RandomLife returns a random number other than 0 that identifies one run of a process.
func RandomLife() uint64 { return rand.Uint64() | 1 }
