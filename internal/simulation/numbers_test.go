package simulation

import (
	"strings"
	"testing"

	"saltmast/internal/simulation/checker"
)

// What operators hear of a register that doesn't keep one content to a number is noticed.
func TestFlawedNumbers(t *testing.T) {
	if raceOn {
		t.Skip("what the surveyor notices is looked at without the race detector")
	}
	for says, heard := range map[string]func(c *checker.Copy) int{
		"two contents": func(c *checker.Copy) int { // it takes the number for all there is
			if c.Status == 409 {
				return 200
			}
			return c.Status
		},
		"was taken was refused": func(c *checker.Copy) int { // it refuses what came before
			if c.Status == 200 && c.Order%3 == 0 && c.Sent.Milliseconds()%4 == 0 {
				return 409
			}
			return c.Status
		},
		"refused is in force": func(c *checker.Copy) int { // it refuses what it takes
			if c.Status == 200 && len(c.Items) == 2 {
				return 400
			}
			return c.Status
		},
	} {
		t.Run(says, func(t *testing.T) {
			t.Parallel()
			day, err := DayNamed("numbers")
			if err != nil {
				t.Fatal(err)
			}
			day.Floor = 0
			for seed := uint64(1); seed <= 3; seed++ {
				l, broken, _ := Play(t, day, seed, Flaw{Ordered: heard})
				if l == nil {
					return
				}
				for _, b := range broken {
					if b.Rule == "NUMBER" && strings.Contains(b.String(), says) {
						return
					}
				}
			}
			t.Error("it was not noticed")
		})
	}
}
