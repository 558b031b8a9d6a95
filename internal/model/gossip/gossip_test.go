package gossip

import (
	"testing"
	"time"
)

func options(agents, tell int, loss float64) Options {
	return Options{Agents: agents, Tell: tell, Loss: loss, Bytes: 1024, Exchange: 30 * time.Second, Cut: 5 * time.Second, Most: 5 * time.Minute, Seed: 1}
}

// After a cut in halves all agree with what was counted, on a network that loses a third too, and nobody ever says more.
func TestHalvesAgreeAfterAHeal(t *testing.T) {
	for _, loss := range []float64{0, 0.3} {
		r := Run(options(60, 60, loss))
		if r.Agreed < 0 || r.Over > 0 || r.Half > r.Agreed {
			t.Errorf("loss %v: %+v", loss, r)
		}
	}
}

func TestOneSeedIsOneResult(t *testing.T) {
	if a, b := Run(options(30, 10, 0.1)), Run(options(30, 10, 0.1)); a != b {
		t.Errorf("%+v, then %+v", a, b)
	}
}
