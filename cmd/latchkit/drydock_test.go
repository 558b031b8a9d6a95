package main

import (
	"context"
	"io"
	"strings"
	"testing"

	"saltmast/internal/simulation"
)

// Days that were not played are not told as days that kept the rules.
func TestDrydockStopped(t *testing.T) {
	c := drydockCommand()
	ctx, stop := context.WithCancel(t.Context())
	stop()
	var out strings.Builder
	c.SetContext(ctx)
	c.SetOut(&out)
	c.SetErr(io.Discard)
	days, err := simulation.Drawn(1, 3, "", false)
	if err != nil {
		t.Fatal(err)
	}
	err = (&drydockFlags{}).hunt(c, simulation.Hunter{T: t, Jobs: 2}, days)
	if err == nil || !strings.Contains(err.Error(), "0 of 3 days") || out.Len() > 0 {
		t.Errorf("stopped before the first day: %v, and it prints %q", err, out.String())
	}
}
