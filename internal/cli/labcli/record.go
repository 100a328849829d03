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

// recorder makes a trace of what callers sent and got in a capture.
type recorder struct {
	nodes map[string]*api.Node
	gates map[string]uint32
	calls map[string]*api.Call // by gateway's address and branch
	stood map[string]float64   // by Call-ID: when it stood
	byID  map[string]*api.Call
	of    []*api.Call
}

func (r *recorder) add(rec *api.Record) error {
	switch v := rec.What.(type) {
	case *api.Record_Node:
		r.nodes[v.Node.Addr] = v.Node
		if v.Node.Role == "edge" {
			r.gates[v.Node.Addr] = uint32(len(r.gates))
		}
	case *api.Record_Datagram:
		from, to := r.nodes[v.Datagram.From], r.nodes[v.Datagram.To]
		if from == nil || to == nil || from.Role != "caller" && to.Role != "caller" {
			return nil
		}
		m, err := siptransaction.Parse(v.Datagram.Data)
		if err != nil {
			return nil
		}
		r.message(rec.At, v.Datagram, m)
	}
	return nil
}

func (r *recorder) message(at float64, d *api.Datagram, m sip.Message) {
	branch, _ := m.Via().Params.Get("branch")
	id := string(*m.CallID())
	switch m := m.(type) {
	case *sip.Request:
		switch key := d.To + branch; {
		case m.Method == sip.BYE:
			if c, from := r.byID[id], r.stood[id]; c != nil && from > 0 {
				c.HoldMs = at - from
			}
		case m.Method == sip.INVITE && r.calls[key] == nil && siptransaction.Tag(m.To().Params) == "":
			number, params, _ := strings.Cut(m.Recipient.User, ";")
			c := &api.Call{AtMs: at, Gateway: r.gates[d.To], Number: number, Customer: m.From().Address.Host,
				PatienceMs: siptransaction.ParseRetryAfter(siptransaction.HeaderValue(m, "Expires"))}
			c.Skill, _ = strings.CutPrefix(siptransaction.HeaderValue(m, siptransaction.Service), "urn:urn-7:")
			for p := range strings.SplitSeq(params, ";") {
				if g, ok := strings.CutPrefix(p, "tgrp="); ok {
					c.Group = g
				}
			}
			r.calls[key], r.byID[id] = c, c
			r.of = append(r.of, c)
		}
	case *sip.Response:
		if c := r.calls[d.From+branch]; c != nil && m.CSeq().MethodName == sip.INVITE && m.StatusCode >= 200 &&
			c.Answer == 0 {
			c.Answer, c.WaitMs = uint32(m.StatusCode), at-c.AtMs
			if m.StatusCode < 300 {
				r.stood[id] = at
			}
		}
	}
}

// fromCapture reads a capture's calls.
func fromCapture(name string) ([]*api.Call, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	defer f.Close()
	r := &recorder{
		nodes: map[string]*api.Node{},
		gates: map[string]uint32{},
		calls: map[string]*api.Call{},
		stood: map[string]float64{},
		byID:  map[string]*api.Call{},
	}
	if err := capture.Read(f, r.add); err != nil {
		return nil, err
	}
	return r.of, nil
}

func captureTrace() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use:   "record CAPTURE",
		Short: "Make a trace of a capture: each try of a caller, with its answer and wait",
		Args:  cobra.ExactArgs(1),
		Long: `Makes a trace of what callers sent in a capture. Redials stand in it as calls of their own: replayed
against callers that dial again, they would come twice, so "cobalt-lab day --trace" lets nobody dial
again.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			of, err := fromCapture(args[0])
			if err != nil {
				return err
			}
			answers := map[uint32]int{}
			for _, c := range of {
				answers[c.Answer]++
			}
			var parts []string
			for a, n := range answers {
				parts = append(parts, strconv.Itoa(int(a))+": "+strconv.Itoa(n))
			}
			slices.Sort(parts)
			fmt.Fprintf(cmd.OutOrStdout(), "%s; answers %s\n", calltrace.Summary(of), strings.Join(parts, ", "))
			if out != "" {
				return saveTrace(out, of)
			}
			return nil
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "", "write the trace to this file")
	return c
}

// replay puts a trace's calls in the place of a script's load.
func replay(s *scenariofile.Script, file string) error {
	if file == "" {
		return nil
	}
	of, err := read(file)
	if err != nil {
		return err
	}
	s.Calls = of
	s.Callers.Redials = 0
	if len(of) > 0 {
		s.Length = max(s.Length, of[len(of)-1].AtMs+1000)
	}
	return nil
}
