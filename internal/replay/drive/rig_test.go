package drive

import (
	"testing"

	"saltmast/internal/recording/mapping"
	"saltmast/internal/standin"
)

// rulesByID take an operation's identity from Envoy's request id.
func rulesByID(t *testing.T) *mapping.Rules {
	t.Helper()
	r, err := mapping.Parse("rules.toml", []byte(`
[[rule]]
path = "/sale-settle"
class = "sale-settle"
id = "header:x-request-id"
[[rule]]
path = "/limit-hold"
class = "limit-hold"
id = "header:x-request-id"
`), nil)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// sink is a stand-in of which nothing must run twice.
func sink(t *testing.T) *standin.Sink {
	t.Helper()
	k, err := standin.NewSink(standin.SinkConfig{Addr: "127.0.0.1:0", Operation: OperationHeader, Unsafe: func(string) bool { return true }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Close() })
	return k
}
