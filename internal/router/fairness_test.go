package router

import (
	"fmt"
	"testing"

	"cobaltpier/internal/deployment"
	"cobaltpier/internal/routing"
)

// settingsWith decodes a deployment's settings with one class. The latency objective and the late fraction say how
// the deployment's service is scored; they are not the caller's time.
func settingsWith(t *testing.T, objective, lateFraction float64) *routing.Settings {
	t.Helper()
	text := fmt.Sprintf(`{"balancers": 1, "tick": 5,
		"allowed": {"cancel": true, "maxAttempts": 5, "retryAfter": true, "maxRetryAfter": 2000},
		"familyInfo": {"clearWait": 500, "retransmit": 400, "callLength": [10000]},
		"lanes": [{"name": "lookup", "aim": %g, "lateWorth": %g, "hardLimit": 9000, "semantics": "pure", "worth": 1}]}`,
		objective, lateFraction)
	settings, _, err := deployment.Decode([]byte(text), 7)
	if err != nil {
		t.Fatal(err)
	}
	return settings
}

// TestTargetDelayFollowsRetransmission checks that the queueing delay that send rates aim at follows from the time
// after which a waiting setup is sent again, whatever latency the deployment is scored by.
func TestTargetDelayFollowsRetransmission(t *testing.T) {
	h, _ := newTestHost(0)
	want := New(settingsWith(t, 2000, 0.1), h).targetDelay
	if want <= 0 || want >= 400 {
		t.Errorf("target delay %v ms, want less than the retransmit interval of 400 ms", want)
	}
	for _, objective := range []float64{0, 100, 800, 9000} {
		if got := New(settingsWith(t, objective, 0.1), h).targetDelay; got != want {
			t.Errorf("objective %v ms: target delay %v ms, want %v ms as for 2000 ms", objective, got, want)
		}
	}
}
