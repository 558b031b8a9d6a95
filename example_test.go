package saltmast_test

import (
	"fmt"
	"time"

	"saltmast"
)

// A request with a failed first attempt, a retry and an answer. The agent owns
// the clock, the timers and the connections.
func Example() {
	b, err := saltmast.New(saltmast.Settings{
		Balancers:   1,
		MaxAttempts: 3,
		Classes: []saltmast.Class{
			{Aim: 200 * time.Millisecond, Deadline: time.Second, Worth: 1, Effect: saltmast.Safe},
		},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0)
	var backend string
	var timer int64
	step := func(events ...saltmast.Event) {
		for _, action := range b.Step(now, events) {
			switch a := action.(type) {
			case saltmast.Send: // start the attempt; report its Outcome later
				fmt.Println("send", a.Request)
				backend = a.Backend
			case saltmast.SetTimer: // report TimerFired when it expires
				fmt.Println("set a timer")
				timer = a.Token
			case saltmast.Refuse:
				fmt.Println("refuse", a.Request)
			case saltmast.Fail:
				fmt.Println("fail", a.Request)
			}
		}
	}
	step(saltmast.List{Kind: saltmast.ListFull, Backends: []saltmast.Backend{{ID: "10.0.0.1:80"}, {ID: "10.0.0.2:80"}}})
	step(saltmast.Request{ID: "r1", Class: 0, TimeLeft: time.Second})

	first := backend
	now += 3 * time.Millisecond
	step(saltmast.Outcome{Request: "r1", Attempt: 0, Backend: backend, Result: saltmast.Errored, Latency: 3 * time.Millisecond})

	now += 7 * time.Millisecond
	step(saltmast.TimerFired{Token: timer})
	fmt.Println("on another backend:", backend != first)

	now += 20 * time.Millisecond
	step(saltmast.Outcome{Request: "r1", Attempt: 1, Backend: backend, Latency: 20 * time.Millisecond, Done: true})
	// Output:
	// send r1
	// set a timer
	// send r1
	// on another backend: true
}
