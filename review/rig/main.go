package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases are the plays by name. broken says whether the rule was broken.
var cases = map[string]func(rec *Record, trouble bool) (broken bool, err error){
	"late-beat":    lateBeat,
	"early-answer": earlyAnswer,
	"left-clients": leftClients,
}

// main plays the case that is named first, and writes the record into the folder that is named second. The exit status is 1 if
// the rule was broken, 0 if it held, and 2 if the case couldn't run.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &Record{f: f, start: time.Now()}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.Note("couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "couldn't run:", err)
		os.Exit(2)
	case broken:
		rec.Note("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	rec.Note("the rule held")
	fmt.Println("the rule held")
}
