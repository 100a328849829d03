package processrun

import (
	"fmt"
	"os"

	"cobaltpier/api"
	"cobaltpier/internal/conformance"
	"cobaltpier/internal/conformance/capture"
	"cobaltpier/internal/emulator/scenario"
	"cobaltpier/internal/emulator/scenariofile"
)

//tally:standin

// maxRecordQueue is the maximum number of records that wait for the checker.
const maxRecordQueue = 1 << 16

// check checks the records of a run in a goroutine of its own, so that parsing them does not delay the stand-ins.
type check struct {
	checker *conformance.Checker
	tables  *conformance.TableChecker // nil: the scenario has no number tables
	file    *os.File                  // the capture file; nil: none
	capture *capture.Writer           // nil: none
	records chan *api.Record
	done    chan struct{} // closed after the last record
	err     error         // from writing the capture; may be read once done is closed
	ended   bool
}

// startCheck starts the checker; captureFile "" writes no capture.
func startCheck(s *scenariofile.Script, captureFile string) (*check, error) {
	c := &check{
		checker: conformance.New(),
		records: make(chan *api.Record, maxRecordQueue),
		done:    make(chan struct{}),
	}
	if s.AnalysesNumbers() {
		c.tables = conformance.NewTableChecker(scenario.TablePrefix)
		c.tables.Blur = tableReordering
	}
	if captureFile != "" {
		f, err := os.Create(captureFile)
		if err != nil {
			return nil, fmt.Errorf("day: capture: %w", err)
		}
		c.file, c.capture = f, capture.NewWriter(f)
	}
	go c.run()
	return c, nil
}

func (c *check) add(record *api.Record) { c.records <- record }

func (c *check) run() {
	defer close(c.done)
	for record := range c.records {
		c.checker.Add(record)
		if c.tables != nil {
			c.tables.Add(record)
		}
		if c.capture != nil {
			c.capture.Add(record)
		}
	}
	if c.capture != nil {
		c.err = c.capture.Flush()
	}
}

// finish waits for the last record and stores the findings in a result.
func (c *check) finish(res *Result) error {
	close(c.records)
	c.ended = true
	<-c.done
	if c.err != nil {
		return c.err
	}
	c.checker.Finish()
	res.Findings, res.Totals, res.Tables = c.checker.Findings, c.checker.Totals, c.tables
	return nil
}

// close stops the check if finish was not called, and closes the capture file.
func (c *check) close() {
	if !c.ended {
		close(c.records)
		<-c.done
	}
	if c.file != nil {
		_ = c.file.Close()
	}
}
