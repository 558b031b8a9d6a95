package wire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"saltmast"
)

const ms = time.Millisecond

func frame(lines ...string) string {
	return "{\"msg\":\"Frame\",\"ClockMs\":1500.25}\n" + strings.Join(lines, "\n") + "\n{\"msg\":\"End\"}\n"
}

func TestEvents(t *testing.T) {
	const list = `{"msg":"DefineList","Sheet":3,"Items":[` +
		`{"Backend":"10.0.0.1:80","Availability":"on","Rating":1.5,"Block":2,"LaunchedMs":900,"Sku":1,"Dc":1},` +
		`{"Backend":"10.0.0.2:80","Availability":"fading"},{"Backend":"10.0.0.3:80","Availability":"off"}]}`
	entries := []saltmast.Backend{
		{ID: "10.0.0.1:80", Weight: 1.5, Cell: 2, Started: 900 * ms, Kind: 1, Zone: 1},
		{ID: "10.0.0.2:80", State: saltmast.Draining}, {ID: "10.0.0.3:80", State: saltmast.Gone}}
	tests := []struct {
		line string
		want saltmast.Event
	}{
		{`{"msg":"Submit","Agent":3,"Job":"d0","TierClass":1,"GraceMs":240.5,"WorkHintMs":12,"StateBits":7,"Project":2,"Item":"91f0"}`,
			saltmast.Request{ID: "d0", Class: 1, TimeLeft: 240500 * time.Microsecond, Work: 12 * ms, Repeat: true,
				Write: true, Tenant: 2, Key: "91f0"}},
		{`{"msg":"Submit","Agent":3,"Job":"d0","TierClass":0,"GraceMs":240,"WorkHintMs":12,"Later":{"x":1}}`,
			saltmast.Request{ID: "d0", TimeLeft: 240 * ms}},
		{`{"msg":"Ended","Agent":3,"Job":"d0","Outcome":"pass","WaitTimeMs":18.5,"Backend":"b","SendNo":2,"Ended":true,"Usage":{"backlog":4,"recent_ms":7,"errors_per_s":0.5,"outstanding":6,"utilization":0.75,"throughput":90,"later":1}}`,
			saltmast.Outcome{Request: "d0", Attempt: 2, Backend: "b", Latency: 18500 * time.Microsecond, Done: true,
				Load: saltmast.Load{Valid: true, InFlight: 6, Queue: 4, Utilization: 0.75, Throughput: 90, Service: 7 * ms,
					ErrorsPerSec: 0.5}}},
		{`{"msg":"Ended","Agent":3,"Job":"d0","Outcome":"stale_send","WaitTimeMs":0,"Backend":"b","SendNo":0}`,
			saltmast.Outcome{Request: "d0", Backend: "b", Result: saltmast.NotSent, Load: load(nil)}},
		{`{"msg":"Expired","Agent":3,"Job":"d0"}`, saltmast.Abandoned{Request: "d0"}},
		{`{"msg":"Reminder","Agent":3,"Cookie":9223372036854775807}`, saltmast.TimerFired{Token: 1<<63 - 1}},
		{`{"msg":"Streaming","Agent":3,"Job":"d0","WaitTimeMs":1,"SendNo":1,"Backend":"b"}`,
			saltmast.StreamStarted{Request: "d0", Attempt: 1}},
		{`{"msg":"Peer","Agent":3,"From":2,"Msg":"68692037"}`,
			saltmast.PeerMessage{From: 2, Data: []byte("hi 7")}},
		{`{"msg":"ProbeDone","Agent":3,"Backend":"b","Outcome":"no_route","WaitTimeMs":2}`,
			saltmast.ProbeResult{Backend: "b", Result: saltmast.ConnectFailed, Latency: 2 * ms, Load: load(nil)}},
		{`{"msg":"View","Agent":3,"How":"error","Index":4,"Sheet":0}`, saltmast.List{Kind: saltmast.ListFailed}},
		{list + "\n" + `{"msg":"View","Agent":3,"How":"diff","Index":4,"Sheet":3}`,
			saltmast.List{Kind: saltmast.ListDelta, Backends: entries}},
	}
	for _, tt := range tests {
		b, err := NewReader(strings.NewReader(frame(tt.line))).Next()
		if err != nil {
			t.Errorf("%s: %v", tt.line, err)
			continue
		}
		if b.Now != 1500250*time.Microsecond || len(b.Events) != 1 || b.Events[0].Agent != 3 {
			t.Errorf("%s: batch %+v", tt.line, b)
			continue
		}
		if got := b.Events[0].Event; !reflect.DeepEqual(got, tt.want) {
			t.Errorf("%s:\n got %#v\nwant %#v", tt.line, got, tt.want)
		}
	}
}

const factsJSON = `{"Balancers":3,"Me":1,"Zone":2,"CountedBy":"work","MembershipMode":"subscribe","TickMs":5,"Later":[1],
"Profiles":[{"Name":"x","AimMs":400,"DeadlineMs":1500,"Worth":3,"LateValue":0.25,"Semantics":"by_key","Group":"cell","WindowMs":3000,"KeepOrder":true,"AimStretch":1.5,"Stream":true}],
"Dcs":["a","b","c"],"Kinds":["k"],"Tier":1,"Tiers":["s","t"],"Weights":"rough","Clients":{"MarksRetry":true},
"FamilyInfo":{"WarmKeys":true,"PassesDeadline":true},"OverShareWorth":0.05,
"Tenants":[{"Name":"z","Portion":0.28,"QuotaPerS":11}],"Report":{"Source":"on_probe","Fields":["outstanding","backlog","later"]},
"PolicyLimits":{"MaxOpen":20000,"StreamsPerConn":1,"CpuUsPerS":8000,"CpuUsPerRequest":10,"MayProbe":true,"Cancel":true,"RetryAfter":true,"ConnectTimeoutMs":250,"TryLimit":4,"IdleCloseMs":60000,"SecondCopies":true,"Peers":true,"MaxRetryAfterMs":1500},
"Contract":{"ColdFrom":0.16,"DrainGraceMs":500,"FallMs":1000,"FallMultiple":2.5,"RampTimeMs":20000,"AskWithinMs":10000,"GraceToAnswerMs":20,"BusyIsNoProof":true,"KeyRestMs":200},
"Goal":{"Whole":0.55,"WorstClass":0.3,"WorstWindow":0.15,"WorstTenant":0.25},
"Prices":{"CrossZone":0.02,"Waste":0.15,"LateFail":0.08,"Probe":0.01,"Peer":0.03,"Handshake":0.04,"Connection":0.05,"MembershipMode":0.06,"Moves":0.07,"Origin":0.09,"Fleet":0.11}}`

func TestSettings(t *testing.T) {
	oneLine := strings.ReplaceAll(factsJSON, "\n", "")
	b, err := NewReader(strings.NewReader(frame(`{"msg":"OpenInstance","Agent":1,"RandomSeed":77,"Facts":` + oneLine + `}`))).Next()
	if err != nil {
		t.Fatal(err)
	}
	want := saltmast.Settings{
		Balancers: 3, Self: 1, Zone: 2, WorthPerWork: true, Subscribe: true, Tick: 5 * ms,
		Classes: []saltmast.Class{{Aim: 400 * ms, Deadline: 1500 * ms, Worth: 3, LateWorth: 0.25,
			Effect: saltmast.Keyed, Group: saltmast.GroupCell, Window: 3 * time.Second, KeepOrder: true, AimStretch: 1.5, Stream: true}},
		Zones: 3, Kinds: 1, Tier: 1, Tiers: 2, Weights: saltmast.WeightsRough, MarksRetry: true, WarmKeys: true,
		PassesDeadline: true, OverShareWorth: 0.05, Tenants: []saltmast.Tenant{{Share: 0.28, Quota: 11}},
		Reports: saltmast.ReportsProbes, Fields: saltmast.FieldInFlight | saltmast.FieldQueue,
		MaxOpen: 20000, StreamsPerConn: 1, CPUPerSecond: 8 * ms, CPUPerRequest: 10 * time.Microsecond,
		MayProbe: true, MayCancel: true, RetryAfter: true, ConnectTimeout: 250 * ms,
		FullMayHaveRun: true, KeyRest: 200 * ms, GoalTenant: 0.25,
		WastePrice: 0.15, LateFailPrice: 0.08, ProbePrice: 0.01, PeerPrice: 0.03, HandshakePrice: 0.04,
		ConnectionPrice: 0.05, ListPrice: 0.06, MovePrice: 0.07, OriginPrice: 0.09, FleetPrice: 0.11,
		MaxAttempts: 4, SecondCopies: true, Peers: true, MaxRetryAfter: 1500 * ms, IdleClose: time.Minute,
		DrainGrace: 500 * ms, AnswerGrace: 20 * ms, AskWithin: 10 * time.Second, ColdShare: 0.16,
		RampTime: 20 * time.Second, FallMultiple: 2.5, FallWindow: time.Second,
		GoalWhole: 0.55, GoalWindow: 0.15, GoalClass: 0.3, CrossZonePrice: 0.02,
	}
	if o := b.Events[0].Open; o == nil || o.Seed != 77 || !reflect.DeepEqual(o.Settings, want) {
		t.Errorf("got %+v\nwant %+v", o, want)
	}
}

func TestBadInput(t *testing.T) {
	tests := []struct{ name, in, want string }{
		{"not JSON", frame("{oops"), "line 2: "},
		{"unknown message", frame(`{"msg":"Nope","Agent":1}`), "line 2: Nope: unknown message"},
		{"missing field", frame(`{"msg":"Submit","Agent":1,"Job":"x"}`), "line 2: Submit: missing"},
		{"missing instance", frame(`{"msg":"Expired","Job":"x"}`), "line 2: Expired: missing Agent"},
		{"ill-typed field", frame(`{"msg":"Expired","Agent":"one","Job":"x"}`), "line 2: "},
		{"list never defined", frame(`{"msg":"View","Agent":1,"How":"diff","Sheet":5}`), "line 2: View: Sheet 5 was never defined"},
		{"unknown outcome", frame(`{"msg":"Ended","Agent":1,"Job":"x","Outcome":"huh","WaitTimeMs":1,"Backend":"b","SendNo":0}`), `unknown Outcome "huh"`},
		{"unknown kind of class", frame(`{"msg":"OpenInstance","Agent":1,"RandomSeed":1,"Facts":{"Profiles":[{"Semantics":"maybe"}]}}`),
			`Profiles[0].Semantics: unknown kind "maybe"`},
		{"unknown weights", frame(`{"msg":"OpenInstance","Agent":1,"RandomSeed":1,"Facts":{"Weights":"x"}}`), `Weights: unknown meaning "x"`},
		{"unknown report source", frame(`{"msg":"OpenInstance","Agent":1,"RandomSeed":1,"Facts":{"Report":{"Source":"x"}}}`), `Report.Source: unknown source "x"`},
		{"ill-typed setting", frame(`{"msg":"OpenInstance","Agent":1,"RandomSeed":1,"Facts":{"Goal":{"Whole":"much"}}}`), "Goal.Whole"},
		{"ends within a batch", "{\"msg\":\"Frame\",\"ClockMs\":1}\n", "line 1: the input ends within a batch"},
		{"frame without clock", "{\"msg\":\"Frame\"}\n", "line 1: Frame: missing ClockMs"},
		{"event outside a batch", "{\"msg\":\"Expired\",\"Agent\":1,\"Job\":\"x\"}\n", "outside a batch"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := NewReader(strings.NewReader(tt.in)).Next()
			if err == nil || errors.Is(err, io.EOF) || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one with %q", err, tt.want)
			}
		})
	}
}

func TestActions(t *testing.T) {
	tests := []struct {
		action saltmast.Action
		want   string
	}{
		{saltmast.Send{Request: "d0", Backend: "b", Timeout: 80500 * time.Microsecond},
			`{"msg":"Try","Agent":4,"Job":"d0","Backend":"b","PatienceMs":80.5}`},
		{saltmast.Send{Request: "d0", Backend: "b"}, `{"msg":"Try","Agent":4,"Job":"d0","Backend":"b"}`},
		{saltmast.Cancel{Request: "d0", Attempt: 2}, `{"msg":"Cancel","Agent":4,"Job":"d0","SendNo":2}`},
		{saltmast.Refuse{Request: "d0", RetryAfter: 5 * ms}, `{"msg":"SayNo","Agent":4,"Job":"d0","WaitMs":5}`},
		{saltmast.Refuse{Request: "d0"}, `{"msg":"SayNo","Agent":4,"Job":"d0"}`},
		{saltmast.Fail{Request: `q"\`}, `{"msg":"DropRequest","Agent":4,"Job":"q\"\\"}`},
		{saltmast.SetTimer{After: ms / 4, Token: 9}, `{"msg":"SetTimer","Agent":4,"SpanMs":0.25,"Cookie":9}`},
		{saltmast.Probe{Backend: "b"}, `{"msg":"Test","Agent":4,"Backend":"b"}`},
		{saltmast.SendToPeers{Data: []byte("hi 7")}, `{"msg":"WritePeer","Agent":4,"Whom":null,"Msg":"68692037"}`},
		{saltmast.SendToPeers{Data: []byte("hi 7"), One: true, To: 2},
			`{"msg":"WritePeer","Agent":4,"Whom":2,"Msg":"68692037"}`},
		{saltmast.Unsubscribe{}, `{"msg":"KeepInformed","Agent":4,"Enable":false}`},
		{saltmast.FetchList{}, `{"msg":"ListAll","Agent":4}`},
		{saltmast.CloseIdle{Backend: "b"}, `{"msg":"CloseIdle","Agent":4,"Backend":"b"}`},
		{saltmast.Note{Text: "two known"}, `{"msg":"Trace","Agent":4,"Msg":"two known"}`},
		{saltmast.Subscribe{}, `{"msg":"KeepInformed","Agent":4,"Enable":true}`},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		w := NewWriter(&out)
		if err := w.Actions(4, []saltmast.Action{tt.action}); err != nil {
			t.Fatal(err)
		}
		if err := w.End(); err != nil {
			t.Fatal(err)
		}
		if want := tt.want + "\n{\"msg\":\"Eor\"}\n"; out.String() != want {
			t.Errorf("%#v:\n got %swant %s", tt.action, out.String(), want)
		}
	}
}

// Lines and batches of several megabytes are read whole.
func TestLongBatch(t *testing.T) {
	var in strings.Builder
	for i := range 50000 {
		fmt.Fprintf(&in, "{\"msg\":\"Expired\",\"Agent\":1,\"Job\":\"%016x\"}\n", i)
	}
	pad := `{"msg":"Expired","Agent":1,"Job":"x","Later":"` + strings.Repeat("y", 3<<20) + `"}`
	b, err := NewReader(strings.NewReader(frame(in.String() + pad))).Next()
	if err != nil || len(b.Events) != 50001 {
		t.Fatalf("%v: read %d events", err, len(b.Events))
	}
}

// Whatever comes in, a batch or a plain error comes out.
func FuzzNext(f *testing.F) {
	f.Add(frame(`{"msg":"Submit","Agent":3,"Job":"d0","TierClass":1,"GraceMs":240.5,"Project":-1,"Item":""}`))
	f.Add(frame(`{"msg":"DefineList","Sheet":3,"Items":[{"Backend":"a","Availability":"on"}]}`, `{"msg":"View","Agent":3,"How":"diff","Sheet":3}`))
	f.Add(frame(`{"msg":"OpenInstance","Agent":1,"RandomSeed":1,"Facts":` + strings.ReplaceAll(factsJSON, "\n", "") + `}`))
	f.Add(frame(`{"msg":"Peer","Agent":3,"From":2,"Msg":"6"}`))
	f.Add("{\"msg\":\"End\"}\n")
	f.Add("null\n[]\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := NewReader(strings.NewReader(in))
		for {
			b, err := r.Next()
			if err != nil {
				return
			}
			if b == nil {
				t.Fatal("neither a batch nor an error")
			}
		}
	})
}
