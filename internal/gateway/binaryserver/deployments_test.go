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

// testDeployment holds the settings of a deployment in a test.
type testDeployment struct {
	name        string
	classes     []string
	classFields string // JSON fields of each class besides its name
	allowed     string
	rules       string
	loadReports string
	descriptors int
	timeout     string // Timeout parameter of the setups, ms
}

func (d *testDeployment) apply(doc map[string]any) {
	var lanes []string
	for _, name := range d.classes {
		b, _ := json.Marshal(name)
		lanes = append(lanes, fmt.Sprintf(`{"name":%s,%s}`, b, d.classFields))
	}
	doc["settings"] = json.RawMessage(
		fmt.Sprintf(
			`{"allowed":{%s},"balancers":1,"me":0,"familyInfo":{"clearWait":50},"lanes":[%s],"rules":{%s},"stats":{%s}}`,
			d.allowed,
			strings.Join(lanes, ","),
			d.rules,
			d.loadReports,
		),
	)
	doc["limits"] = map[string]any{"cores": 0.1, "memory_mb": 32, "sockets": d.descriptors}
}

func manyClasses() (names []string) {
	for i := range 40 {
		names = append(names, fmt.Sprintf("class %d; of:many=%d", i, i*i))
	}
	return
}

// TestOtherDeployments checks that the server works with the settings of any deployment: any names and number of
// classes, very small limits, and all optional features off. Calls of every class are established and released; a
// call of an unknown class is rejected.
func TestOtherDeployments(t *testing.T) {
	for _, deployment := range []testDeployment{
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
		t.Run(deployment.name, func(t *testing.T) {
			a, b := newTestEndpoint(t, "s-0"), newTestEndpoint(t, "s-1")
			s := startTestServer(
				t,
				newTestNameServer(t, 1, a, b),
				func(settings *routing.Settings, h routing.Host) routing.Policy { return router.New(settings, h) },
				deployment.apply,
				a,
				b,
			)
			client := s.dial()
			client.waitUntilReady()
			for i, class := range deployment.classes {
				id := uint64(2000 + i)
				_, _ = client.conn.Write(
					binarymessage.Append(
						nil,
						binarymessage.Setup,
						id,
						binarymessage.TextParam(binarymessage.Class, class),
						binarymessage.TextParam(binarymessage.Timeout, deployment.timeout),
						binarymessage.TextParam(binarymessage.Number, fmt.Sprint(i)),
						binarymessage.TextParam(binarymessage.RoutingParams, "dest:1;width:1;via:-1"),
						binarymessage.TextParam(binarymessage.Description, "offer"),
					),
				)
				released := func() bool { _, _, n := countFinals(client.received[id]); return n > 0 }
				if !client.waitFor(2*time.Second, released) {
					t.Errorf("call of class %q got %x, want an answer and a release", class, client.received[id])
				}
			}
			_, _ = client.conn.Write(
				binarymessage.Append(
					nil,
					binarymessage.Setup,
					9000,
					binarymessage.TextParam(binarymessage.Class, "voice"),
					binarymessage.TextParam(binarymessage.Timeout, deployment.timeout),
					binarymessage.TextParam(binarymessage.Number, "1"),
					binarymessage.TextParam(binarymessage.Description, "offer"),
				),
			)
			if !client.waitFor(time.Second, func() bool { return len(client.received[9000]) > 0 }) ||
				client.received[9000][0].Type() != binarymessage.Release {
				t.Errorf("call of an unknown class got %x, want a release", client.received[9000])
			}
		})
	}
}
