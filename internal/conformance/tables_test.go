package conformance

import (
	"fmt"
	"strings"
	"testing"

	"cobaltpier/api"
)

// TestTables checks that a call is reported if it was analysed by a table that was not in force, or by more than
// one.
func TestTables(t *testing.T) {
	mark := func(v uint64) string { return fmt.Sprint(1000 + v) }
	node := func(addr, role, name string) *api.Record {
		return &api.Record{What: &api.Record_Node{Node: &api.Node{Addr: addr, Role: role, Name: name}}}
	}
	event := func(at float64, what string, version int) *api.Record {
		return &api.Record{At: at, What: &api.Record_Mark{Mark: &api.Mark{What: what, Who: "e", Text: fmt.Sprint(version)}}}
	}
	invite := func(at float64, from, to, user, session string) *api.Record {
		text := "INVITE sip:" + user + "@" + to + " SIP/2.0\nVia: SIP/2.0/UDP " + from + ";branch=z9hG4bK" + session +
			user + "\nFrom: <sip:a@b>;tag=1\nTo: <sip:c@d>\nCall-ID: " +
			session + "\nCSeq: 1 INVITE\nSession-ID: " + strings.Repeat(session, 32)[:32] +
			";remote=00000000000000000000000000000000\nContent-Length: 0\n\n"
		return &api.Record{
			At: at,
			What: &api.Record_Datagram{
				Datagram: &api.Datagram{From: from, To: to, Data: []byte(strings.ReplaceAll(text, "\n", "\r\n"))},
			},
		}
	}
	caller := func(at float64, session string) *api.Record { return invite(at, "c:1", "e:1", "+1418", session) }
	setup := func(at float64, user, session string) *api.Record { return invite(at, "e:1", "s:1", user, session) }
	for name, test := range map[string]struct {
		records []*api.Record
		want    string // part of the findings; empty if there are none
	}{
		"the table in force": {[]*api.Record{event(0, "table-in", 1), caller(1, "a"),
			setup(2, "+10011418;npdi", "a")}, ""},
		"the mark in the routing number": {[]*api.Record{event(0, "table-in", 1), caller(1, "a"),
			setup(2, "+1418;npdi;rn=+10011999;tgrp=x", "a")}, ""},
		"a new table during the analysis": {[]*api.Record{event(0, "table-in", 1), caller(1, "a"),
			event(2, "table-sent", 2), event(3, "table-in", 2), setup(4, "+10011418", "a")}, ""},
		"a table that is not confirmed yet": {[]*api.Record{event(0, "table-in", 1), event(2, "table-sent", 2),
			caller(3, "a"), setup(4, "+10021418", "a")}, ""},
		"a table sent after the call arrived": {[]*api.Record{event(0, "table-in", 1), caller(1, "a"),
			event(2, "table-sent", 2), event(3, "table-in", 2), setup(4, "+10021418", "a")}, "not in force then"},
		"a call read after a stall": {[]*api.Record{event(0, "table-in", 1), event(0, "edge-stop", 0),
			caller(1, "a"), event(2, "table-sent", 2), event(3, "edge-go", 0), event(3, "table-in", 2),
			setup(4, "+10021418", "a")}, ""},
		"a table replaced before the call arrived": {[]*api.Record{event(0, "table-in", 1),
			event(2, "table-sent", 2), event(3, "table-in", 2), caller(30, "a"), setup(40, "+10011418", "a")},
			"not in force then"},
		"an unknown table": {[]*api.Record{event(0, "table-in", 1), caller(1, "a"), setup(2, "+10021418", "a")},
			"no table has mark"},
		"another table for the second attempt": {[]*api.Record{event(0, "table-in", 1), event(0, "table-sent", 2),
			caller(1, "a"), setup(2, "+10011418", "a"), setup(3, "+10021418", "a")}, "after one with mark 1001"},
		"no mark": {[]*api.Record{event(0, "table-in", 1), caller(1, "a"), setup(2, "+1418", "a")},
			"no table has mark"},
	} {
		checker := NewTableChecker(mark)
		for _, record := range append([]*api.Record{node("c:1", "caller", "c"), node("e:1", "edge", "e"),
			node("s:1", "switch", "s")}, test.records...) {
			checker.Add(record)
		}
		got := strings.Join(checker.Findings, "; ")
		if test.want == "" {
			if checker.Record(
				"e",
				strings.Repeat("a", 32),
				checker.versionByMark[checker.markByCall["e "+strings.Repeat("a", 32)]],
			); len(checker.Findings) != 0 ||
				checker.Records != 1 {
				t.Errorf("%s: findings %v, want none; %d call records compared, want 1", name, checker.Findings, checker.Records)
			}
			if checker.Record("e", strings.Repeat("a", 32), 99); len(checker.Findings) != 1 {
				t.Errorf("%s: no finding for a call record that names another table, want one", name)
			}
		}
		if (got == "") != (test.want == "") || !strings.Contains(got, test.want) || checker.Calls != 1 {
			t.Errorf("%s: findings %q, want one containing %q; %d calls, want 1", name, got, test.want, checker.Calls)
		}
	}
}
