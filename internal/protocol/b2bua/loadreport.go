package b2bua

import (
	"math"
	"strconv"
	"strings"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/internal/protocol/siptransaction"
	"cobaltpier/internal/routing"
)

// loadReportFields maps the parameter names of the Cobalt-Load header field to setters of the load report.
var loadReportFields = map[string]func(*routing.LoadReport, float64){
	"util":  func(r *routing.LoadReport, v float64) { r.Utilization = v },
	"queue": func(r *routing.LoadReport, v float64) { r.QueueLength = v },
	"wait":  func(r *routing.LoadReport, v float64) { r.QueueDelay = v },
	"lines": func(r *routing.LoadReport, v float64) { r.Capacity = v },
	"free":  func(r *routing.LoadReport, v float64) { r.Free = v },
}

// applyLoadReport updates an endpoint's load report from a response: overload control parameters in our own Via (RFC
// 7339 4, RFC 7415 3) and the Cobalt-Load header field. It reports whether any value other than lines and free was
// present. Invalid values are ignored.
func (a *Agent) applyLoadReport(endpoint *routing.Endpoint, res *sip.Response) bool {
	hasLoadReport := false
	if via := res.Via(); via != nil {
		v, _ := via.Params.Get("oc")
		algo, _ := via.Params.Get("oc-algo")
		validity, stated := via.Params.Get("oc-validity")
		if n, ok := parseNumber(v); ok && (!stated || validity != "0") { // 0: control has ended (RFC 7339 4.3)
			switch strings.Trim(algo, `"`) {
			case "loss":
				endpoint.LoadReport.LossFraction, hasLoadReport = min(1, n/100), true
			case "rate": // the limit of this client; the policy uses the limit of all gateways together
				endpoint.LoadReport.RateLimit, hasLoadReport = n*float64(max(1, a.config.Settings.Gateways)), true
			}
		}
	}
	for f := range strings.SplitSeq(siptransaction.HeaderValue(res, siptransaction.LoadHeader), ";") {
		k, v, _ := strings.Cut(strings.TrimSpace(f), "=")
		n, ok := parseNumber(v)
		if set := loadReportFields[k]; set != nil && ok {
			set(&endpoint.LoadReport, n)
			hasLoadReport = hasLoadReport || k != "lines" && k != "free"
		}
	}
	return hasLoadReport
}

// parseNumber parses a finite number that is not negative.
func parseNumber(s string) (float64, bool) {
	n, err := strconv.ParseFloat(s, 64)
	return n, err == nil && n >= 0 && !math.IsInf(n, 0)
}
