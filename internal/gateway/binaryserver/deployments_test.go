package binaryserver

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/router"
	"cobaltpier/internal/routing"
)

// testDeployment is a made-up deployment.
type testDeployment struct {
	name        string
	classes     []string
	classFields string // JSON fields of each class besides its name
	allowed     string
	rules       string
	loadReports string
	descriptors int
	timeout     string // a caller's timeout
}

func (c *testDeployment) apply(doc map[string]any) {
	var lanes []string
	for _, name := range c.classes {
		b, _ := json.Marshal(name)
		lanes = append(lanes, fmt.Sprintf(`{"name":%s,%s}`, b, c.classFields))
	}
	doc["settings"] = json.RawMessage(
		fmt.Sprintf(
			`{"allowed":{%s},"balancers":1,"me":0,"familyInfo":{"clearWait":50},"lanes":[%s],"rules":{%s},"stats":{%s}}`,
			c.allowed,
			strings.Join(lanes, ","),
			c.rules,
			c.loadReports,
		),
	)
	doc["limits"] = map[string]any{"cores": 0.1, "memory_mb": 32, "sockets": c.descriptors}
}

func manyClasses() (names []string) {
	for i := range 40 {
		names = append(names, fmt.Sprintf("class %d; of:many=%d", i, i*i))
	}
	return
}

// The server works with any deployment's settings: any names and number of classes, very small limits, and all optional
// features off. Calls of every class are established and released; a call of an unknown class is refused.
func TestOtherDeployments(t *testing.T) {
	for _, c := range []testDeployment{
		{"one class with special characters in its name", []string{"Ångström 1;dest:0 \"x\""},
			`"aim":700,"hardLimit":1500,"lateWorth":0.5,"worth":0.01,"semantics":"pure"`,
			`"cancel":true,"maxAttempts":7,"connectTimeout":250`, `"answerSlack":5`, `"fields":["size","free"],"how":"inline"`,
			256, "1500"},
		{"forty classes", manyClasses(), `"aim":2500,"hardLimit":9000,"lateWorth":0,"worth":100,"semantics":"side_effect"`,
			`"retryAfter":true,"maxRetryAfter":10,"maxAttempts":1`,
			`"answerSlack":50,"coldShare":0.9,"warmWithin":60000,"tipMultiple":9,"fall":100`, `"how":"off"`, 1024, "8000"},
		{"tiny limits", []string{"0", " "}, `"aim":150,"hardLimit":400`,
			`"maxAttempts":1,"mostHeld":1,"connectTimeout":40,"connIdle":100`,
			`"answerSlack":1,"coldShare":0.1,"warmWithin":1,"tipMultiple":0.5,"fall":1`, `"fields":[],"how":"on_probe"`, 32,
			"400"},
		{"all off", []string{"only"}, `"aim":1000,"hardLimit":2000`, ``, ``, ``, 64, "2000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := newTestEndpoint(t, "s-0"), newTestEndpoint(t, "s-1")
			s := startTestServer(
				t,
				newTestNameServer(t, 1, a, b),
				func(set *routing.Settings, h routing.Host) routing.Policy { return router.New(set, h) },
				c.apply,
				a,
				b,
			)
			p := s.dial()
			p.waitUntilReady()
			for i, class := range c.classes {
				id := uint64(2000 + i)
				_, _ = p.conn.Write(
					binarymessage.Append(
						nil,
						binarymessage.Setup,
						id,
						binarymessage.TextParam(binarymessage.Class, class),
						binarymessage.TextParam(binarymessage.Timeout, c.timeout),
						binarymessage.TextParam(binarymessage.Number, fmt.Sprint(i)),
						binarymessage.TextParam(binarymessage.Figures, "dest:1;width:1;via:-1"),
						binarymessage.TextParam(binarymessage.Description, "offer"),
					),
				)
				released := func() bool { _, _, n := countFinals(p.received[id]); return n > 0 }
				if !p.waitFor(2*time.Second, released) {
					t.Errorf("class %q: %x", class, p.received[id])
				}
			}
			_, _ = p.conn.Write(
				binarymessage.Append(
					nil,
					binarymessage.Setup,
					9000,
					binarymessage.TextParam(binarymessage.Class, "voice"),
					binarymessage.TextParam(binarymessage.Timeout, c.timeout),
					binarymessage.TextParam(binarymessage.Number, "1"),
					binarymessage.TextParam(binarymessage.Description, "offer"),
				),
			)
			if !p.waitFor(time.Second, func() bool { return len(p.received[9000]) > 0 }) ||
				p.received[9000][0].Type() != binarymessage.Release {
				t.Errorf("a class that this deployment does not have: %x", p.received[9000])
			}
		})
	}
}
