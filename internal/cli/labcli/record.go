package labcli

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/emiago/sipgo/sip"
	"github.com/spf13/cobra"

	"cobaltpier/api"
	"cobaltpier/internal/conformance/capture"
	"cobaltpier/internal/emulator/calltrace"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/protocol/siptransaction"
)

// recorder builds a trace from what callers sent and received in a capture.
type recorder struct {
	nodes          map[string]*api.Node
	gatewayNumbers map[string]uint32
	calls          map[string]*api.Call // by gateway's address and branch
	answeredAt     map[string]float64   // by Call-ID: when the call was answered
	callsByID      map[string]*api.Call
	recorded       []*api.Call
}

func (r *recorder) add(record *api.Record) error {
	switch entry := record.What.(type) {
	case *api.Record_Node:
		r.nodes[entry.Node.Addr] = entry.Node
		if entry.Node.Role == "edge" {
			r.gatewayNumbers[entry.Node.Addr] = uint32(len(r.gatewayNumbers))
		}
	case *api.Record_Datagram:
		from, to := r.nodes[entry.Datagram.From], r.nodes[entry.Datagram.To]
		if from == nil || to == nil || from.Role != "caller" && to.Role != "caller" {
			return nil
		}
		message, err := siptransaction.Parse(entry.Datagram.Data)
		if err != nil {
			return nil
		}
		r.addMessage(record.At, entry.Datagram, message)
	}
	return nil
}

func (r *recorder) addMessage(atMs float64, datagram *api.Datagram, m sip.Message) {
	branch, _ := m.Via().Params.Get("branch")
	callID := string(*m.CallID())
	switch m := m.(type) {
	case *sip.Request:
		switch key := datagram.To + branch; {
		case m.Method == sip.BYE:
			if call, talkStart := r.callsByID[callID], r.answeredAt[callID]; call != nil && talkStart > 0 {
				call.HoldMs = atMs - talkStart
			}
		case m.Method == sip.INVITE && r.calls[key] == nil && siptransaction.Tag(m.To().Params) == "":
			number, params, _ := strings.Cut(m.Recipient.User, ";")
			call := &api.Call{AtMs: atMs, Gateway: r.gatewayNumbers[datagram.To], Number: number,
				Customer:   m.From().Address.Host,
				PatienceMs: siptransaction.ParseRetryAfter(siptransaction.HeaderValue(m, "Expires"))}
			call.Skill, _ = strings.CutPrefix(siptransaction.HeaderValue(m, siptransaction.ServiceHeader), "urn:urn-7:")
			for param := range strings.SplitSeq(params, ";") {
				if group, ok := strings.CutPrefix(param, "tgrp="); ok {
					call.Group = group
				}
			}
			r.calls[key], r.callsByID[callID] = call, call
			r.recorded = append(r.recorded, call)
		}
	case *sip.Response:
		if call := r.calls[datagram.From+branch]; call != nil && m.CSeq().MethodName == sip.INVITE &&
			m.StatusCode >= 200 && call.Answer == 0 {
			call.Answer, call.WaitMs = uint32(m.StatusCode), atMs-call.AtMs
			if m.StatusCode < 300 {
				r.answeredAt[callID] = atMs
			}
		}
	}
}

// callsFromCapture returns the calls of a capture.
func callsFromCapture(name string) ([]*api.Call, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	defer f.Close()
	r := &recorder{
		nodes:          map[string]*api.Node{},
		gatewayNumbers: map[string]uint32{},
		calls:          map[string]*api.Call{},
		answeredAt:     map[string]float64{},
		callsByID:      map[string]*api.Call{},
	}
	if err := capture.Read(f, r.add); err != nil {
		return nil, err
	}
	return r.recorded, nil
}

func recordCmd() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use:   "record CAPTURE",
		Short: "Make a trace from a capture: each call attempt of a caller, with its answer and wait",
		Args:  cobra.ExactArgs(1),
		Long: `Makes a trace of what callers sent in a capture. Redials are calls of their own in it: if callers
redialled in the replay too, they would come twice, so "cobalt-lab day --trace" turns redialling
off.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			calls, err := callsFromCapture(args[0])
			if err != nil {
				return err
			}
			answers := map[uint32]int{}
			for _, call := range calls {
				answers[call.Answer]++
			}
			var parts []string
			for status, count := range answers {
				parts = append(parts, strconv.Itoa(int(status))+": "+strconv.Itoa(count))
			}
			slices.Sort(parts)
			fmt.Fprintf(cmd.OutOrStdout(), "%s; answers %s\n", calltrace.Summary(calls), strings.Join(parts, ", "))
			if out != "" {
				return writeTrace(out, calls)
			}
			return nil
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "", "write the trace to this file")
	return c
}

// replayTrace replaces a script's load by the calls of a trace.
func replayTrace(script *scenariofile.Script, file string) error {
	if file == "" {
		return nil
	}
	calls, err := readTrace(file)
	if err != nil {
		return err
	}
	script.Calls = calls
	script.Callers.Redials = 0
	if len(calls) > 0 {
		script.Length = max(script.Length, calls[len(calls)-1].AtMs+1000)
	}
	return nil
}
