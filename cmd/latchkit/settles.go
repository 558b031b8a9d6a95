package main

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"saltmast/internal/requestlog"
	settleslog "saltmast/internal/requestlog/log"
)

// settlesFlags are the flags that the subcommands of settles share.
type settlesFlags struct {
	id, account, key string
	from, to         string
	asJSON           bool
}

func settlesCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "settles",
		Short: "Ask a journal of settles: was this sent, and where",
		Long: `settles reads the journal that a daemon keeps of requests which must not run twice,
beside the daemon or after its end. It writes nothing. Exit status: 0 all is
certain, 3 the journal cannot tell or is damaged, 2 bad usage, 1 anything else.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	var f settlesFlags
	add := func(use, short, long string, run func(cmd *cobra.Command, j *journal) error, flags ...string) {
		sub := &cobra.Command{Use: use + " FOLDER", Short: short, Long: long, Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				j, err := f.open(args[0])
				if err != nil {
					return err
				}
				return run(cmd, j)
			}}
		for _, name := range flags {
			switch name {
			case "who":
				sub.Flags().StringVar(&f.id, "id", "", "the request's `id`, as its caller gave it")
				sub.Flags().StringVar(&f.account, "account", "", "every request of an `account`")
				sub.Flags().StringVar(&f.key, "key", "", "every request with an idempotency `key`")
				sub.MarkFlagsOneRequired("id", "account", "key")
				sub.MarkFlagsMutuallyExclusive("id", "account", "key")
			case "when":
				sub.Flags().StringVar(&f.from, "from", "", "no earlier than this `time`, as in 2026-12-01T06:30:00Z")
				sub.Flags().StringVar(&f.to, "to", "", "and no later than this one")
			case "json":
				sub.Flags().BoolVar(&f.asJSON, "json", false, "print JSON")
			}
		}
		c.AddCommand(sub)
	}
	add("find", "What is known of one request, or of an account's", `find gives one of three answers: never handed to a server; handed to a server at a
time, no answer seen (it may have run); answered, with what and when. Where the journal has lost what
it would take, it says so, and where, and exits with 3. --from and --to say when the request came, if that is
known: what was lost at another time is then no doubt.`, f.find, "who", "when", "json")
	add("open", "Settles without an outcome", `open lists attempts that were handed to a server, with no answer seen. Those of a
running daemon may be under way.`, f.listOpen, "json")
	add("between", "What was sent between two times", `between lists the requests with an attempt between two times, by the wall clock that
the daemon had.`, f.between, "when", "json")
	add("verify", "Whether the journal is whole", `verify reads every segment and names the byte where damage begins, and between which
times something is lost. What stands before and behind it is as certain as it was.`, f.verify, "json")
	add("export", "All that is known, as JSON lines", `export prints a line for each request, in the order in which they first came.`, f.export, "when")
	add("stat", "The figures of a journal", `stat counts what the journal holds.`, f.stat, "json")
	return c
}

// journal is one that was read.
type journal struct {
	dir      string
	book     *requestlog.Book
	report   *settleslog.Report
	from, to time.Time
}

func (f *settlesFlags) open(dir string) (*journal, error) {
	j := &journal{dir: dir}
	for _, t := range []struct {
		flag, text string
		into       *time.Time
	}{{"--from", f.from, &j.from}, {"--to", f.to, &j.to}} {
		if t.text == "" {
			continue
		}
		var err error
		if *t.into, err = time.Parse(time.RFC3339Nano, t.text); err != nil {
			return nil, usage(fmt.Errorf("%s: %q is no time such as 2026-12-01T06:30:00Z", t.flag, t.text))
		}
	}
	if !j.from.IsZero() && !j.to.IsZero() && j.to.Before(j.from) {
		return nil, usage(errors.New("--to is before --from"))
	}
	if info, err := os.Stat(dir); err != nil {
		return nil, usage(err)
	} else if !info.IsDir() {
		return nil, usage(fmt.Errorf("%s is no folder", dir))
	}
	j.book = requestlog.NewBook(func(i *requestlog.Intent) bool {
		return (f.id == "" || i.Request == requestlog.Clip(f.id)) && (f.account == "" || i.Account == requestlog.Clip(f.account)) && (f.key == "" || i.Key == requestlog.Clip(f.key))
	})
	var err error
	if j.report, err = settleslog.Read(settleslog.Dir(dir), j.book); err != nil {
		return nil, other(err)
	}
	if len(j.report.Segments) == 0 {
		return nil, usage(fmt.Errorf("%s holds no journal", dir))
	}
	return j, nil
}

// line is one request as it is printed in JSON.
type line struct {
	Request  string            `json:"request"`
	Answer   requestlog.Answer `json:"answer"`
	Server   string            `json:"server,omitempty"`
	Addr     string            `json:"addr,omitempty"`
	At       *time.Time        `json:"at,omitempty"` // of the answer, or else of the hand-over
	Result   string            `json:"result,omitempty"`
	Attempts []attemptLine     `json:"attempts"`
	Doubts   []string          `json:"doubts,omitempty"`
	Note     string            `json:"note,omitempty"`
}

type attemptLine struct {
	Attempt int               `json:"attempt"`
	Seq     uint64            `json:"seq"`
	Class   string            `json:"class"`
	Account string            `json:"account,omitempty"`
	Key     string            `json:"key,omitempty"`
	Server  string            `json:"server"`
	Addr    string            `json:"addr"`
	At      time.Time         `json:"at"`
	Digest  string            `json:"body_sha256"`
	Answer  requestlog.Answer `json:"answer"`
	Result  string            `json:"result,omitempty"`
	Status  int               `json:"status,omitempty"`
	Ended   *time.Time        `json:"ended,omitempty"`
}

func lineOf(f requestlog.Finding) line {
	l := line{Request: f.Request, Answer: f.Answer, Attempts: []attemptLine{}, Doubts: f.Doubts}
	utc := func(t time.Time) *time.Time { u := t.UTC(); return &u }
	for i, a := range f.Attempts {
		x := attemptLine{Attempt: a.Intent.Attempt, Seq: a.Seq, Class: a.Intent.Class, Account: a.Intent.Account, Key: a.Intent.Key, Server: a.Intent.Server,
			Addr: a.Intent.Addr, At: a.Intent.At.UTC(), Digest: hex.EncodeToString(a.Intent.Digest[:]), Answer: a.Answer()}
		if o := a.Outcome; o != nil {
			x.Result, x.Status, x.Ended = o.Result.String(), o.Status, utc(o.At)
		}
		if i > 0 && (a.Intent.Digest != f.Attempts[0].Intent.Digest || a.Intent.Account != f.Attempts[0].Intent.Account) {
			l.Note = "this id came with more than one body or account: it was used for more than one request"
		}
		l.Attempts = append(l.Attempts, x)
	}
	if a := f.Attempt; a != nil {
		l.Server, l.Addr, l.At = a.Intent.Server, a.Intent.Addr, utc(a.Intent.At)
		if a.Outcome != nil {
			l.Result = a.Outcome.Result.String()
			if f.Answer == requestlog.Answered {
				l.At = utc(a.Outcome.At)
			}
		}
	}
	return l
}

const stamp = "2006-01-02T15:04:05.000Z"

func (l line) print(w io.Writer) {
	fmt.Fprintf(w, "%s: %s", l.Request, l.Answer)
	switch l.Answer {
	case requestlog.Answered:
		fmt.Fprintf(w, " (%s) by %s (%s) at %s", l.Result, l.Server, l.Addr, l.At.Format(stamp))
	case requestlog.Handed:
		fmt.Fprintf(w, ": %s (%s) at %s", l.Server, l.Addr, l.At.Format(stamp))
	}
	fmt.Fprintln(w)
	for _, a := range l.Attempts {
		fmt.Fprintf(w, "  attempt %d at %s to %s (%s), class %s", a.Attempt, a.At.Format(stamp), a.Server, a.Addr, a.Class)
		if a.Account != "" {
			fmt.Fprintf(w, ", account %s", a.Account)
		}
		if a.Key != "" {
			fmt.Fprintf(w, ", key %s", a.Key)
		}
		if a.Ended != nil {
			fmt.Fprintf(w, ": %s after %s", a.Result, a.Ended.Sub(a.At).Round(100*time.Microsecond))
			if a.Status != 0 {
				fmt.Fprintf(w, ", status %d", a.Status)
			}
		} else {
			fmt.Fprintf(w, ": %s", a.Answer)
		}
		fmt.Fprintf(w, ", body sha256 %s\n", a.Digest[:16])
	}
	if l.Note != "" {
		fmt.Fprintln(w, "  "+l.Note)
	}
	if l.Answer == requestlog.CannotTell {
		for _, d := range l.Doubts {
			fmt.Fprintln(w, "  doubt: "+d)
		}
	}
}

// show prints findings, and tells by the status whether one of them can't be told.
func (f *settlesFlags) show(cmd *cobra.Command, found []requestlog.Finding) error {
	lines := []line{}
	unsure := false
	for _, x := range found {
		unsure = unsure || x.Answer == requestlog.CannotTell
		lines = append(lines, lineOf(x))
	}
	if f.asJSON {
		if err := printJSON(cmd.OutOrStdout(), lines); err != nil {
			return err
		}
	} else {
		for _, l := range lines {
			l.print(cmd.OutOrStdout())
		}
	}
	if unsure {
		return &ending{status: statusBroke}
	}
	return nil
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return other(e.Encode(v))
}

func (f *settlesFlags) find(cmd *cobra.Command, j *journal) error {
	if f.id != "" {
		return f.show(cmd, []requestlog.Finding{j.book.Find(requestlog.Clip(f.id), j.from, j.to)})
	}
	var found []requestlog.Finding
	j.book.Each(func(x requestlog.Finding) {
		if j.within(x) {
			found = append(found, x)
		}
	})
	if err := f.show(cmd, found); err != nil {
		return err
	}
	// An absence: the same three answers hold for it.
	none := j.book.Find("", j.from, j.to)
	if !f.asJSON {
		if len(found) == 0 {
			fmt.Fprintf(cmd.OutOrStdout(), "no request: %s\n", none.Answer)
		}
		for _, d := range none.Doubts {
			fmt.Fprintln(cmd.OutOrStdout(), "  doubt: "+d)
		}
	}
	if none.Answer == requestlog.CannotTell {
		return &ending{status: statusBroke}
	}
	return nil
}

// within reports whether a request has an attempt between the times that were asked for.
func (j *journal) within(x requestlog.Finding) bool {
	for _, a := range x.Attempts {
		if at := a.Intent.At; (j.from.IsZero() || !at.Before(j.from)) && (j.to.IsZero() || !at.After(j.to)) {
			return true
		}
	}
	return false
}

func (f *settlesFlags) listOpen(cmd *cobra.Command, j *journal) error {
	var found []requestlog.Finding
	seen := map[string]bool{}
	for _, a := range j.book.Open() {
		if id := a.Intent.Request; !seen[id] {
			seen[id] = true
			found = append(found, j.book.Find(id, time.Time{}, time.Time{}))
		}
	}
	if len(found) == 0 && !f.asJSON {
		fmt.Fprintln(cmd.OutOrStdout(), "none stands open")
	}
	return f.show(cmd, found)
}

func (f *settlesFlags) between(cmd *cobra.Command, j *journal) error {
	var found []requestlog.Finding
	j.book.Each(func(x requestlog.Finding) {
		if j.within(x) {
			found = append(found, x)
		}
	})
	if len(found) == 0 && !f.asJSON {
		fmt.Fprintln(cmd.OutOrStdout(), "none")
	}
	return f.show(cmd, found)
}

func (f *settlesFlags) export(cmd *cobra.Command, j *journal) error {
	e := json.NewEncoder(cmd.OutOrStdout())
	var err error
	j.book.Each(func(x requestlog.Finding) {
		if err == nil && j.within(x) {
			err = e.Encode(lineOf(x))
		}
	})
	return other(err)
}

func (f *settlesFlags) verify(cmd *cobra.Command, j *journal) error {
	out := cmd.OutOrStdout()
	if f.asJSON {
		if err := printJSON(out, j.report); err != nil {
			return err
		}
	} else {
		for _, s := range j.report.Segments {
			fmt.Fprintf(out, "%s  %6d records  %9d bytes used", s.Name, s.Records, s.Used)
			switch {
			case s.Damaged > 0:
				fmt.Fprintf(out, "  damaged from byte %d", s.Damaged)
			case s.Poisoned:
				fmt.Fprint(out, "  given up after a failed write or sync")
			case s.Torn:
				fmt.Fprint(out, "  its end was being written; nothing there was acted on")
			}
			if s.Note != "" {
				fmt.Fprint(out, "  "+s.Note)
			}
			fmt.Fprintln(out)
		}
		for _, l := range j.report.Losses {
			fmt.Fprintln(out, "lost: "+l.String())
		}
		if j.report.Certain {
			fmt.Fprintf(out, "whole: %d records, nothing that was vouched for is missing\n", j.report.Records)
		} else {
			fmt.Fprintf(out, "%d records can be read and are as certain as they were; what is absent proves nothing where something is lost\n", j.report.Records)
		}
	}
	if !j.report.Certain {
		return &ending{status: statusBroke}
	}
	return nil
}

func (f *settlesFlags) stat(cmd *cobra.Command, j *journal) error {
	s := j.book.Stat()
	out := cmd.OutOrStdout()
	if f.asJSON {
		return printJSON(out, struct {
			requestlog.Stat
			Segments int   `json:"segments"`
			Bytes    int64 `json:"bytes"`
		}{s, len(j.report.Segments), j.report.Bytes})
	}
	fmt.Fprintf(out, "%d settles handed over, %d outcomes, %d open\n%d runs of a daemon, from %s to %s\n%d segments, %d bytes\n",
		s.Intents, s.Outcomes, s.Open, s.Runs, s.From.UTC().Format(stamp), s.To.UTC().Format(stamp), len(j.report.Segments), j.report.Bytes)
	if s.ClockBack > 0 {
		fmt.Fprintf(out, "the wall clock stepped back %d times\n", s.ClockBack)
	}
	for _, g := range s.Gaps {
		fmt.Fprintf(out, "gap: %d unrecorded from %s to %s: %s\n", g.Count, g.From.UTC().Format(stamp), g.To.UTC().Format(stamp), g.Why)
	}
	for _, l := range s.Losses {
		fmt.Fprintln(out, "lost: "+l.String())
	}
	return nil
}
