package console

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"golang.org/x/term"

	"saltmast/internal/messages"
	"saltmast/internal/process"
	"saltmast/internal/settings"
)

type args struct {
	Settings string  `arg:"--settings" placeholder:"FILE" help:"a settings file of the mesh: its seeds are asked first"`
	At       string  `arg:"--at" placeholder:"ADDR[,ADDR...]" help:"where harbourmasters take calls of other programs, as host:port"`
	Once     bool    `arg:"--once" help:"print all tables and end"`
	JSON     bool    `arg:"--json" help:"print it all as JSON and end"`
	Wait     float64 `arg:"--wait" default:"1" placeholder:"SECONDS" help:"for an agent's answer"`
	Every    float64 `arg:"--every" default:"2" placeholder:"SECONDS" help:"between two looks"`

	Roll *rollArgs `arg:"subcommand:roll" help:"change who counts"`
}

func (args) Description() string {
	return "The console of the mesh: what each program knows, and what they tell differently. It changes nothing, but for roll."
}
func (args) Version() string { return "violetlatch " + process.Version }
func (args) Epilogue() string {
	return "Exit status of --once and --json: 0 all answer and agree, 1 wrong usage or nobody reached, 2 some do not answer or disagree."
}

// Exit statuses.
const (
	exitGood  = 0
	exitWrong = 1
	exitOdd   = 2
)

// Main runs the console to its end and returns its exit status.
func Main(argv []string, out, errs io.Writer) int {
	var a args
	parser, err := arg.NewParser(arg.Config{Program: "lookout", Out: out}, &a)
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitWrong
	}
	wrong := func(format string, v ...any) int {
		fmt.Fprintf(errs, "lookout: "+format+"\n", v...)
		return exitWrong
	}
	switch err := parser.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(out)
		return exitGood
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(out, a.Version())
		return exitGood
	case err != nil:
		return wrong("%v", err)
	case (a.Settings == "") == (a.At == ""):
		return wrong("one of --settings and --at wanted")
	case !(a.Wait > 0 && a.Wait <= 60):
		return wrong("--wait: seconds up to 60 wanted, got %v", a.Wait)
	case !(a.Every >= 0.2 && a.Every <= 3600):
		return wrong("--every: seconds from 0.2 to 3600 wanted, got %v", a.Every)
	}
	k := &Asker{Wait: time.Duration(math.Ceil(a.Wait * float64(time.Second)))}
	defer k.Close()
	if k.At, err = where(a); err != nil {
		return wrong("%v", err)
	}
	if a.Roll != nil {
		return a.Roll.change(k.At, out, wrong)
	}
	if a.Once || a.JSON {
		return once(k, a.JSON, out, wrong)
	}
	f, ok := out.(*os.File)
	if !ok || !term.IsTerminal(int(f.Fd())) {
		return wrong("not on a terminal: --once or --json wanted")
	}
	var m Memory
	s := &screen{view: NewView(80, 24), every: time.Duration(a.Every * float64(time.Second)), look: func() *Picture {
		l := k.Look()
		return Draw(l, m.Note(l))
	}}
	if err := s.show(); err != nil {
		return wrong("%v", err)
	}
	return exitGood
}

// where are the harbourmasters to begin with.
func where(a args) (at []string, err error) {
	for addr := range strings.SplitSeq(a.At, ",") {
		if a.At == "" {
			break
		}
		if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
			return nil, fmt.Errorf("--at: host:port wanted, got %q", addr)
		}
		at = append(at, addr)
	}
	if a.Settings != "" {
		s, err := settings.Load(a.Settings)
		if err != nil {
			return nil, err
		}
		for _, x := range s.Seeds {
			at = append(at, messages.AddrOnHost(x, s.Ports[0], messages.RegistryPort))
		}
		if len(at) == 0 {
			at = append(at, s.Port(messages.RegistryPort))
		}
	}
	return at, nil
}

// againAfter is how long after a look in which something differs there is another: news takes a moment to be everywhere.
const againAfter = 300 * time.Millisecond

// once prints one look. What differs counts if it still does in a second one.
func once(k *Asker, asJSON bool, out io.Writer, wrong func(string, ...any) int) int {
	var m Memory
	l := k.Look()
	if l.Answered() == 0 {
		return wrong("no harbourmaster answers at %s", strings.Join(k.At, ", "))
	}
	ds := m.Note(l)
	if len(ds) > 0 {
		first := l.At
		time.Sleep(againAfter)
		l = k.Look()
		ds = standing(m.Note(l), first)
	}
	p := Draw(l, ds)
	if asJSON {
		if err := p.WriteJSON(out); err != nil {
			return wrong("%v", err)
		}
	} else {
		fmt.Fprint(out, p.Text())
	}
	if !p.Good() {
		return exitOdd
	}
	return exitGood
}

// standing are the differences that were seen by then.
func standing(ds []Difference, by time.Time) (out []Difference) {
	for _, d := range ds {
		if !d.Since.After(by) {
			out = append(out, d)
		}
	}
	return out
}
