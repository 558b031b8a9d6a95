// Package process is what the mesh's programs share of being programs: command line, settings file and its changes, signals,
// log. What a program does is its own package's. Start reading at Main.
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

// Version of the programs.
const Version = "0.1.0"

// Program is one of them.
type Program struct {
	Name  string
	About string
	Start func(s *settings.Settings, log func(event, text string)) (Running, error)
	Last  bool // its counters are told once more when it has stopped
}

// Running is a program that has started.
type Running interface {
	Reload(s *settings.Settings) // the settings file has changed
	Counts() map[string]int64    // for the log, at intervals
	Stop(grace time.Duration)    // ends in order, within so long
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

// watchEvery is how often the settings file is looked at for a change that no signal told.
const watchEvery = 2 * time.Second

// Main runs a program to its end and returns its exit status: 0 after it was asked to stop, 1 where it could not run, 2 for a
// command line that makes no sense.
func Main(p Program, argv []string) int {
	a := args{about: p.About}
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
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) // from the first moment on: unheard, they end the process
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
	say := func(event, text string) { l.Info().Str("event", event).Msg(text) }
	r, err := p.Start(s, say)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		return 1
	}
	say("started", p.Name+" "+Version+" on "+s.NodeName)
	look := time.NewTicker(watchEvery)
	defer look.Stop()
	var count <-chan time.Time
	if a.Counter > 0 {
		t := time.NewTicker(time.Duration(a.Counter * float64(time.Second)))
		defer t.Stop()
		count = t.C
	}
	reload := func() {
		n, err := settings.Load(path)
		if err != nil { // what ran goes on
			say("settings", err.Error())
			return
		}
		say("settings", "changed")
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
			say("stopping", sig.String())
			r.Stop(s.Bounds.Grace - 500*time.Millisecond)
			if a.Counter > 0 && p.Last {
				counters()
			}
			say("stopped", p.Name)
			return 0
		case <-look.C:
			if watch.Changed() {
				reload()
			}
		case <-count:
			counters()
		}
	}
}

// Life is a random number other than 0, for a process.
func Life() uint64 { return rand.Uint64() | 1 }
