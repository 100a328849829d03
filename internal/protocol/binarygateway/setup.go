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
	maxNumberLength = 64      // characters of a called number
	maxTimeout      = 86400e3 // ms: no caller waits longer
	// a setup has to fit into a message when its timeout is written anew with other digits
	maxSetupLength = binarymessage.MaxLength - 16
)

// errInvalidSetup says that a setup is well-formed and makes no sense.
var errInvalidSetup = errors.New("invalid setup")

// setupRequest is what a client's setup asks for.
type setupRequest struct {
	class         string
	calledNumber  string
	timeout       float64 // ms; not a number: not given as one
	destinationID int     // -1: none
	repeated      bool    // the call was cut and is set up again
	resumeAt      string  // the ID of the endpoint where the call is established already; "": it is not
}

// parseSetup reads a setup; an error says that its ID or one of its parameters is out of range.
func parseSetup(message binarymessage.Message) (setupRequest, error) {
	request := setupRequest{
		class:         message.Text(binarymessage.Class),
		calledNumber:  message.Text(binarymessage.Number),
		destinationID: -1,
	}
	if message.Call() == 0 {
		return request, fmt.Errorf("%w: call ID 0", errInvalidSetup)
	}
	timeout, ok := parseNumber(message.Text(binarymessage.Timeout))
	if !ok {
		timeout = math.NaN()
	}
	request.timeout = timeout
	for parameter := range parameters(message.Text(binarymessage.Figures)) {
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
		return nil // unknown ones are allowed
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

// validate checks what a new call needs, beyond its class.
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

// parameter is one of the fields `name:value` of a parameter's text.
type parameter struct{ name, value string }

// parameters reads `a:1;b:2`. Fields of another form are passed over.
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

// parseNumber reads a finite number from 0 up.
func parseNumber(text string) (float64, bool) {
	n, err := strconv.ParseFloat(text, 64)
	return n, err == nil && n >= 0 && !math.IsInf(n, 0)
}

// applyLoadReport reads the load report of a message, if it has one, over the endpoint's older one; complete: with
// figures of the processor. Fields that make no sense are passed over.
func applyLoadReport(endpoint *routing.Endpoint, message binarymessage.Message) (reported, complete bool) {
	report, reported := message.Get(binarymessage.Report)
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
