package simadapter

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"cobaltpier/internal/routing"
)

// echo is a module that attempts every call at the first endpoint and writes down what it hears.
type echo struct {
	host  routing.Host
	set   *routing.Settings
	pools []*routing.Endpoint
	heard []string
}

func (e *echo) note(f string, a ...any) { e.heard = append(e.heard, fmt.Sprintf(f, a...)) }

func (e *echo) OnEndpoints(_ float64, ps []*routing.Endpoint) {
	for _, p := range ps {
		e.note("pool %d %d since %v", p.DestinationID, p.State, p.StartedAt)
	}
	e.pools = append(e.pools, ps...)
}
func (e *echo) OnCall(now float64, c *routing.Call) {
	if c.CalledNumber == "panic" {
		panic("no such number")
	}
	e.note("%s %s until %v at %v", c.Class.Name, c.CalledNumber, c.Deadline-now, c.Destination != nil)
	e.host.StartAttempt(c, e.pools[0], 80)
	e.host.ScheduleWakeup(now+10, c)
}
func (e *echo) OnAnswer(_ float64, r *routing.Attempt) { e.note("stood %v", r.Latency) }
func (e *echo) OnAttemptEnd(_ float64, r *routing.Attempt, closed bool) {
	e.note("ended %d %v wait %v util %v", r.Outcome, closed, r.RetryAfter, r.Endpoint.LoadReport.Utilization)
}
func (e *echo) OnHangup(float64, *routing.Call) { e.note("left") }
func (e *echo) OnLoadReport(_ float64, p *routing.Endpoint, ok, full bool) {
	e.note("report %v %v free %v util %v", ok, full, p.LoadReport.Free, p.LoadReport.Utilization)
}
func (e *echo) OnGossip(_ float64, from int, data []byte) { e.note("told %d %s", from, data) }
func (e *echo) OnWakeup(now float64, c *routing.Call) {
	e.note("woken")
	e.host.SendGossip(1, []byte("hi"))
}

const create = `create	gateway-3	18446744073709551615	{"me":2,"balancers":4,"new":[1],"stats":{"fields":` +
	`["free","busy","odd"],"how":"inline"},"lanes":[{"name":"a","aim":2000.0,"hardLimit":9000.0}]}`

const start = "round	10.5\n" + create + "\nroster	0	2\nentry	7	z	k	0	1	1	-\nentry	8	z	k	1	1	1	9.5\n" +
	"peers_known	gateway-3	0	0	2\n"

func run(t *testing.T, in string) (*echo, string, error) {
	t.Helper()
	var out bytes.Buffer
	e := &echo{}
	err := Serve(strings.NewReader(in), &out, func(s *routing.Settings, h routing.Host) routing.Policy {
		e.host, e.set, e.pools = h, s, nil
		return e
	})
	return e, out.String(), err
}

func TestGoodLines(t *testing.T) {
	e, out, err := run(t, start+"eob\n\nround	20\n"+
		"knock	gateway-3	00ff	-	240.0	a	num:x	0	1	0	0	-1	0	-	1\n"+
		"ping_result	gateway-3	7	done	0	5,-1,3\neob\nround	31\ntimer	gateway-3	1\ntimer	gateway-3	99\n"+
		"under_way	gateway-3	00ff	0	7	9.25\nmemo	gateway-3	1	6869\n"+
		"outcome	gateway-3	00ff	7	0	18.5	4003	busy	0	4,0.62,1\nlapsed	gateway-3	00ff\n"+
		"outcome	gateway-3	00ff	7	0	18.5	-	done	1	-\n"+
		"roster	0	1\nentry	8	z	k	1	2	1	-\npeers_known	gateway-3	1	0	1\n"+
		"peers_known	gateway-3	2	0	0\nhalt	gateway-3\nlapsed	gateway-3	00ff\n"+create+"\neob\n")
	if err != nil {
		t.Fatal(err)
	}
	want := "pool 0 1 since 0|pool 1 1 since 9.5|a num:x until 240 at true|report true false free 5 util NaN|woken|" +
		"stood 9.25|told 1 hi|ended 2 false wait 250 util 0.62|left|pool 1 2 since 0|pool 1 2 since 0|pool 0 0 since 0"
	if got := strings.Join(e.heard, "|"); got != want {
		t.Errorf("heard\n%s\nwant\n%s", got, want)
	}
	if want := "ready\ntry	gateway-3	00ff	7	80.000\nschedule	gateway-3	30.000	1\nready\n" +
		"memo_to	gateway-3	1	6869\nready\n"; out != want {
		t.Errorf("wrote\n%s\nwant\n%s", out, want)
	}
	if s := e.set; s.Gateways != 4 || s.Seed != 1<<64-1 || s.Classes[0].Weight != 1 {
		t.Errorf("settings %+v", s)
	}
}

// Malformed input ends the program with a message that names the line, and nothing stray is written.
func TestMalformedLines(t *testing.T) {
	for in, want := range map[string]string{
		"rond	1\n":                                             `line 1: want "round"`,
		"round	x\n":                                            "line 1: round: time: want a number",
		"round	1\nfoo	gateway-3\n":                             `line 2: want an event`,
		"round	1\nknock	3\n":                                   "line 2: knock: gatewayId",
		"round	1\nroster	0	1\ntimer	x	1\n":                     `line 3: want an "entry"`,
		"round	1\nroster	16	1\n":                               "line 2: roster: bank: want a whole number from 0 to 15",
		"round	1\ncreate	gateway-1	5	{\n":                      "line 2: create: params",
		"round	1\n":                                            "input ends inside a batch",
		start + "timer	gateway-3	-1\n":                         "line 7: timer: ctx",
		start + "lapsed	gateway-3	0	0\n":                       "line 7: lapsed: end of line",
		start + "peers_known	gateway-3	1	5	0\n":                "want the number of a roster sent before",
		start + "knock	gateway-3	0	-	1	b	k	0	1	0	0	-1	0	-	1\n": `tierClass: want a class of the settings, got "b"`,
		start + "ping_result	gateway-3	7	great	0	-\n":          "disposition: want an outcome code",
		start + "ping_result	gateway-3	7	done	0	1,2\n":         "telemetry: want 3 values",
	} {
		if _, out, err := run(t, in); err == nil || !strings.Contains(err.Error(), want) || out != "" {
			t.Errorf("%q: error %v, want %q; wrote %q", in, err, want, out)
		}
	}
}

// A panic in the policy goes out as a fault that names its cause, and ends that instance alone.
func TestPanicIsTold(t *testing.T) {
	_, out, err := run(t, start+"knock	gateway-3	0	-	1	a	panic	0	1	0	0	-1	0	-	1\neob\n")
	if err != nil || !strings.HasPrefix(out, "give_in	gateway-3	no such number at ") ||
		!strings.HasSuffix(out, "\nready\n") {
		t.Errorf("error %v, wrote %.80q", err, out)
	}
}
