package binarygateway

import (
	"errors"
	"fmt"
	"iter"
	"math"
	"strconv"
	"strings"

	"cobaltpier/internal/deployment"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/routing"
)

const (
	maxNumberLength = 64 // characters of a called number
	// maxRoutingParamsLength limits the text of the routing parameters, in bytes, as each of its fields takes time.
	maxRoutingParamsLength = 1024
	maxTimeout             = 86400e3 // ms; longer timeouts are invalid
	// maxSetupLength leaves room for the timeout, which may take more digits when it is rewritten for the endpoint.
	maxSetupLength = binarymessage.MaxLength - 16
)

// errInvalidSetup reports a well-formed setup with invalid content.
var errInvalidSetup = errors.New("invalid setup")

// setupRequest holds the parameters of a client's setup.
type setupRequest struct {
	class         string
	calledNumber  string
	timeout       float64 // ms; NaN if missing or invalid
	destinationID int     // -1 if there is none
	repeated      bool    // the call was cut, and its client sets it up again
	resumeAt      string  // ID of the endpoint where the call is already established; empty for a new call
}

// parseSetup reads a setup. It fails if the call ID or a routing parameter is out of range.
func parseSetup(message binarymessage.Message) (setupRequest, error) {
	request := setupRequest{
		class:         message.Text(binarymessage.Class),
		calledNumber:  message.Text(binarymessage.Number),
		destinationID: -1,
	}
	if message.CallID() == 0 {
		return request, fmt.Errorf("%w: call ID 0", errInvalidSetup)
	}
	timeout, ok := parseNumber(message.Text(binarymessage.Timeout))
	if !ok {
		timeout = math.NaN()
	}
	request.timeout = timeout
	routingParams, _ := message.Get(binarymessage.RoutingParams)
	if len(routingParams) > maxRoutingParamsLength {
		return request, fmt.Errorf("%w: %d bytes of routing parameters", errInvalidSetup, len(routingParams))
	}
	for parameter := range parameters(string(routingParams)) {
		if err := request.apply(parameter); err != nil {
			return request, err
		}
	}
	return request, nil
}

func (r *setupRequest) apply(p parameter) error {
	switch p.name {
	case "at":
		r.resumeAt = p.value
		return nil
	case "dest", "width", "via", "again":
	default:
		return nil // unknown parameters are allowed
	}
	n, err := strconv.Atoi(p.value)
	if err != nil || n < -1 || n > math.MaxInt32 || p.name == "width" && n < 1 {
		return fmt.Errorf("%w: %s %q", errInvalidSetup, p.name, p.value)
	}
	switch p.name {
	case "dest":
		r.destinationID = n
	case "again":
		r.repeated = n == 1
	}
	return nil
}

// validate checks the parameters that a new call requires, except its class.
func (r *setupRequest) validate(message binarymessage.Message) error {
	switch {
	case !(r.timeout > 0) || r.timeout > maxTimeout:
		return fmt.Errorf("%w: timeout %v ms", errInvalidSetup, r.timeout)
	case r.calledNumber == "" || len(r.calledNumber) > maxNumberLength:
		return fmt.Errorf("%w: called number %q", errInvalidSetup, r.calledNumber)
	case len(message) > maxSetupLength:
		return fmt.Errorf("%w: %d bytes", errInvalidSetup, len(message))
	}
	return nil
}

// parameter is a field `name:value` in the text of a message parameter.
type parameter struct{ name, value string }

// parameters iterates over the fields of a text such as `a:1;b:2`, skipping malformed ones.
func parameters(text string) iter.Seq[parameter] {
	return func(yield func(parameter) bool) {
		for field := range strings.SplitSeq(text, ";") {
			name, value, ok := strings.Cut(field, ":")
			if ok && !yield(parameter{strings.TrimSpace(name), strings.TrimSpace(value)}) {
				return
			}
		}
	}
}

// parseNumber parses a finite, non-negative number.
func parseNumber(text string) (float64, bool) {
	n, err := strconv.ParseFloat(text, 64)
	return n, err == nil && n >= 0 && !math.IsInf(n, 0)
}

// applyLoadReport updates the endpoint's load report with the one in a message. It returns whether the message has a
// report and whether that includes the load of the processor (complete). Invalid fields are skipped.
func applyLoadReport(endpoint *routing.Endpoint, message binarymessage.Message) (reported, complete bool) {
	report, reported := message.Get(binarymessage.LoadReport)
	if !reported {
		return false, false
	}
	for p := range parameters(string(report)) {
		if n, ok := parseNumber(p.value); ok && deployment.SetLoadReportField(&endpoint.LoadReport, p.name, n) {
			complete = true
		}
	}
	return true, complete
}
