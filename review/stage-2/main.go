// Command stage-2 plays the scripted cases of the second review: a small mesh of the project's own programs as separate processes
// on loopback addresses, with stand-ins for backends, clients and the operator. The exit status is 1 if a rule was broken, 0 if it
// held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases are the cases by name. Each returns what broke; an empty text if the rule held.
var cases = map[string]func(rec *record, trouble bool) (broken string, err error){
	"former-life": formerLife,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	rec := &record{f: f, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %v", name, trouble)
	broken, err := cases[name](rec, trouble)
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		fmt.Println("not run:", err)
		return 2
	case broken != "":
		rec.say("broken: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	rec.say("held")
	fmt.Println("held")
	return 0
}
