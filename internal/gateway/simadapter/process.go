package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"

	"cobaltpier/internal/routing"
)

// process is the state of the adapter: its instances and the endpoint lists that it was sent, by number.
type process struct {
	out       *bufio.Writer
	newPolicy routing.PolicyFactory
	instances map[string]*instance
	rosters   map[int64][][]string
	now       float64

	inRound bool // between "round" and "eob"
	roster  rosterInput
}

// rosterInput is the endpoint list that is being read.
type rosterInput struct {
	number  int64
	missing int64 // entries not yet read
	entries [][]string
}

const (
	bufferSize     = 1 << 16
	maxLineSize    = 1 << 20
	maxRosters     = 16
	maxRosterSize  = 1 << 24
	rosterFields   = 7
	roundEnd       = "eob"
	roundAnswered  = "ready\n"
	separator      = "\t"
	gatewayPrefix  = "gateway-"
	maxStackLength = 2000
)

// Serve handles rounds until the input ends. Errors name the line and what was expected there.
func Serve(in io.Reader, out io.Writer, newPolicy routing.PolicyFactory) error {
	p := &process{
		out:       bufio.NewWriterSize(out, bufferSize),
		newPolicy: newPolicy,
		instances: map[string]*instance{},
		rosters:   map[int64][][]string{},
	}
	reader := bufio.NewReaderSize(in, maxLineSize)
	for lineNumber := 1; ; lineNumber++ {
		text, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) {
			if text != "" || p.inRound {
				return fmt.Errorf("line %d: input ends inside a batch: want %q", lineNumber, roundEnd)
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		if err := p.handleLine(lineNumber, strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r")); err != nil {
			return err
		}
	}
}

func (p *process) handleLine(lineNumber int, text string) error {
	if text == "" && !p.inRound {
		return nil // examples of the protocol have empty lines between rounds
	}
	parts := strings.Split(text, separator)
	line := &inputLine{lineNumber: lineNumber, kind: parts[0], parts: parts[1:]}
	switch {
	case p.roster.missing > 0:
		return p.addRosterEntry(line, text)
	case !p.inRound:
		return p.beginRound(line, text)
	case line.kind == roundEnd:
		return p.endRound()
	case line.kind == "roster":
		return p.beginRoster(line)
	}
	return p.handleEvent(line, text)
}

func (p *process) beginRound(line *inputLine, text string) error {
	if line.kind != "round" {
		return fmt.Errorf("line %d: want \"round\", got %q", line.lineNumber, text)
	}
	p.inRound = true
	p.now = line.float("time", math.NaN())
	if math.IsNaN(p.now) {
		line.fail("time", "a number", "-")
	}
	return line.finish()
}

func (p *process) endRound() error {
	p.inRound = false
	_, _ = p.out.WriteString(roundAnswered) // Flush reports its error
	if err := p.out.Flush(); err != nil {
		return fmt.Errorf("reply: %w", err)
	}
	return nil
}

func (p *process) beginRoster(line *inputLine) error {
	p.roster = rosterInput{
		number:  line.integer("bank", 0, maxRosters-1),
		missing: line.integer("entries", 0, maxRosterSize),
	}
	if p.roster.missing == 0 {
		p.rosters[p.roster.number] = nil
	}
	return line.finish()
}

func (p *process) addRosterEntry(line *inputLine, text string) error {
	if line.kind != "entry" || len(line.parts) < rosterFields {
		return fmt.Errorf("line %d: want an \"entry\" with %d values, got %q", line.lineNumber, rosterFields, text)
	}
	p.roster.entries = append(p.roster.entries, line.parts)
	p.roster.missing--
	if p.roster.missing == 0 {
		p.rosters[p.roster.number] = p.roster.entries
	}
	return nil
}
