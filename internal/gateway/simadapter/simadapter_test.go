package simadapter

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"cobaltpier/internal/routing"
)

// recorder is a policy that attempts every call at the first endpoint and records its events.
type recorder struct {
	host      routing.Host
	settings  *routing.Settings
	endpoints []*routing.Endpoint
	events    []string
}

func (r *recorder) note(f string, a ...any) { r.events = append(r.events, fmt.Sprintf(f, a...)) }

func (r *recorder) OnEndpoints(_ float64, endpoints []*routing.Endpoint) {
	for _, p := range endpoints {
		r.note("pool %d %d since %v", p.DestinationID, p.State, p.StartedAt)
	}
	r.endpoints = append(r.endpoints, endpoints...)
}
func (r *recorder) OnCall(now float64, c *routing.Call) {
	if c.CalledNumber == "panic" {
		panic("no such number")
	}
	r.note("%s %s until %v at %v", c.Class.Name, c.CalledNumber, c.Deadline-now, c.Destination != nil)
	r.host.StartAttempt(c, r.endpoints[0], 80)
	r.host.ScheduleWakeup(now+10, c)
}
func (r *recorder) OnAnswer(_ float64, a *routing.Attempt) { r.note("stood %v", a.Latency) }
func (r *recorder) OnAttemptEnd(_ float64, a *routing.Attempt, finished bool) {
	r.note("ended %d %v wait %v util %v", a.Outcome, finished, a.RetryAfter, a.Endpoint.LoadReport.Utilization)
}
func (r *recorder) OnHangup(float64, *routing.Call) { r.note("left") }
func (r *recorder) OnLoadReport(_ float64, p *routing.Endpoint, ok, complete bool) {
	r.note("report %v %v free %v util %v", ok, complete, p.LoadReport.Free, p.LoadReport.Utilization)
}
func (r *recorder) OnGossip(_ float64, from int, data []byte) { r.note("told %d %s", from, data) }
func (r *recorder) RetryAfter(float64, *routing.Call) float64 { return 0 }
func (r *recorder) OnWakeup(now float64, c *routing.Call) {
	r.note("woken")
	r.host.SendGossip(1, []byte("hi"))
}

const createLine = `create	gateway-3	18446744073709551615	{"me":2,"balancers":4,"new":[1],"stats":{"fields":` +
	`["free","busy","odd"],"how":"inline"},"lanes":[{"name":"a","aim":2000.0,"hardLimit":9000.0}]}`

const validStart = "round	10.5\n" + createLine + "\nroster	0	2\nentry	7	z	k	0	1	1	-\nentry	8	z	k	1	1	1	9.5\n" +
	"peers_known	gateway-3	0	0	2\n"

func run(t *testing.T, in string) (*recorder, string, error) {
	t.Helper()
	var out bytes.Buffer
	r := &recorder{}
	err := Serve(strings.NewReader(in), &out, func(s *routing.Settings, h routing.Host) routing.Policy {
		r.host, r.settings, r.endpoints = h, s, nil
		return r
	})
	return r, out.String(), err
}

// TestEventsAndActions checks the events that valid input causes at a policy, and the actions that are written.
func TestEventsAndActions(t *testing.T) {
	r, out, err := run(t, validStart+"eob\n\nround	20\n"+
		"knock	gateway-3	00ff	-	240.0	a	num:x	0	1	0	0	-1	0	-	1\n"+
		"ping_result	gateway-3	7	done	0	5,-1,3\neob\nround	31\ntimer	gateway-3	1\ntimer	gateway-3	99\n"+
		"under_way	gateway-3	00ff	0	7	9.25\nmemo	gateway-3	1	6869\n"+
		"outcome	gateway-3	00ff	7	0	18.5	4003	busy	0	4,0.62,1\nlapsed	gateway-3	00ff\n"+
		"outcome	gateway-3	00ff	7	0	18.5	-	done	1	-\n"+
		"roster	0	1\nentry	8	z	k	1	2	1	-\npeers_known	gateway-3	1	0	1\n"+
		"peers_known	gateway-3	2	0	0\nhalt	gateway-3\nlapsed	gateway-3	00ff\n"+createLine+"\neob\n")
	if err != nil {
		t.Fatal(err)
	}
	want := "pool 0 1 since 0|pool 1 1 since 9.5|a num:x until 240 at true|report true false free 5 util NaN|woken|" +
		"stood 9.25|told 1 hi|ended 2 false wait 250 util 0.62|left|pool 1 2 since 0|pool 1 2 since 0|pool 0 0 since 0"
	if got := strings.Join(r.events, "|"); got != want {
		t.Errorf("events\n%s\nwant\n%s", got, want)
	}
	if want := "ready\ntry	gateway-3	00ff	7	80.000\nschedule	gateway-3	30.000	1\nready\n" +
		"memo_to	gateway-3	1	6869\nready\n"; out != want {
		t.Errorf("wrote\n%s\nwant\n%s", out, want)
	}
	if s := r.settings; s.Gateways != 4 || s.Seed != 1<<64-1 || s.Classes[0].Weight != 1 {
		t.Errorf("settings %+v", s)
	}
}

// TestMalformedLines checks that malformed input is an error that names the line, and that nothing is written.
func TestMalformedLines(t *testing.T) {
	for in, want := range map[string]string{
		"rond	1\n":                                   `line 1: want "round"`,
		"round	x\n":                                  "line 1: round: time: want a number",
		"round	1\nfoo	gateway-3\n":                   `line 2: want an event`,
		"round	1\nknock	3\n":                         "line 2: knock: gatewayId",
		"round	1\nroster	0	1\ntimer	x	1\n":           `line 3: want an "entry"`,
		"round	1\nroster	16	1\n":                     "line 2: roster: bank: want a whole number from 0 to 15",
		"round	1\ncreate	gateway-1	5	{\n":            "line 2: create: params",
		"round	1\n":                                  "input ends inside a batch",
		validStart + "timer	gateway-3	-1\n":          "line 7: timer: ctx",
		validStart + "lapsed	gateway-3	0	0\n":        "line 7: lapsed: end of line",
		validStart + "peers_known	gateway-3	1	5	0\n": "want the number of a roster sent before",
		validStart + "knock	gateway-3	0	-	1	b	k	0	1	0	0	-1	0	-	1\n": `tierClass: want a class of the settings, got "b"`,
		validStart + "ping_result	gateway-3	7	great	0	-\n":          "disposition: want an outcome code",
		validStart + "ping_result	gateway-3	7	done	0	1,2\n":         "telemetry: want 3 values",
	} {
		if _, out, err := run(t, in); err == nil || !strings.Contains(err.Error(), want) || out != "" {
			t.Errorf("%q: error %v, want %q; wrote %q", in, err, want, out)
		}
	}
}

// TestPanicIsReported checks that a panic in the policy is reported with its cause, and that the process goes on.
func TestPanicIsReported(t *testing.T) {
	_, out, err := run(t, validStart+"knock	gateway-3	0	-	1	a	panic	0	1	0	0	-1	0	-	1\neob\n")
	if err != nil || !strings.HasPrefix(out, "give_in	gateway-3	no such number at ") ||
		!strings.HasSuffix(out, "\nready\n") {
		t.Errorf("error %v, wrote %.80q", err, out)
	}
}
