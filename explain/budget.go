// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package explain

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
)

// ErrNoBudget says that the log has no line of the workspace's budget.
var ErrNoBudget = eris.New("explain: the log has no line of this workspace's budget")

// budgetStep is the time that one row of Budget's table covers: an outage of the users'
// standard days fills several.
const budgetStep = 2 * time.Second

// Budget is what a log tells of one workspace's prepaid tokens. ReadBudget makes
// one. All amounts are in tokens.
type Budget struct {
	Workspace granitehoist.Workspace
	// Prepaid is the total in force at the end of the log, Rest what the store had
	// left of it when a record was last written.
	Prepaid, Rest granitehoist.Tokens
	// Used is what ended requests were charged. The log has no end of a request that
	// was in progress when its router died.
	Used granitehoist.Tokens

	takers map[string]*taker
	// borrowed holds the sum of the loans of each lender to each borrower's process,
	// and repaid the same of what was given back.
	borrowed, repaid map[transfer]granitehoist.Tokens
	steps            map[time.Duration]*budgetRow
	restAt           time.Duration
}

// taker is a router's process that took tokens from the record.
type taker struct {
	box               string
	granted, returned granitehoist.Tokens
	// ended says that the box has started another process since.
	ended bool
}

// transfer names the two ends of loans. from is an incarnation as the log names it,
// to the process that logged it.
type transfer struct{ from, to string }

// budgetRow is what happened in one step.
type budgetRow struct {
	served  int
	used    granitehoist.Tokens
	refused map[string]int
}

// ReadBudget reads a log and collects what it tells of a workspace's prepaid tokens.
// It returns ErrNoBudget if no line is of them, and an error if log can't be read or
// has a line above maxLineBytes.
func ReadBudget(log io.Reader, workspace granitehoist.Workspace) (*Budget, error) {
	b := &Budget{
		Workspace: workspace, takers: map[string]*taker{}, steps: map[time.Duration]*budgetRow{},
		borrowed: map[transfer]granitehoist.Tokens{}, repaid: map[transfer]granitehoist.Tokens{},
	}
	starts := map[string]int{}
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := Parse(scanner.Text())
		if !ok {
			continue
		}
		process := processName(line.Box, starts[line.Box])
		switch {
		case line.Event == event.Start:
			b.end(process)
			starts[line.Box]++
		case line.Get("workspace") == string(workspace):
			b.note(&line, process)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(err, "explain: log")
	}
	if len(b.steps) == 0 && len(b.takers) == 0 {
		return nil, ErrNoBudget
	}
	return b, nil
}

// processName names the process of a box after so many starts in the log.
func processName(box string, starts int) string { return fmt.Sprintf("%s/%d", box, starts) }

// end notes that a process has ended.
func (b *Budget) end(process string) {
	if t, ok := b.takers[process]; ok {
		t.ended = true
	}
}

// note adds a line of the workspace.
func (b *Budget) note(l *Line, process string) {
	switch l.Event {
	case event.BudgetGrant:
		b.noteGrant(l, process)
	case event.BudgetLoan:
		b.noteTransfer(b.borrowed, transfer{from: l.Get("lender"), to: process}, l)
	case event.BudgetRepaid:
		b.noteTransfer(b.repaid, transfer{from: l.Get("to"), to: process}, l)
	case event.Request:
		b.noteRequest(l)
	}
}

// noteGrant adds what a line of a written record says of the budget.
func (b *Budget) noteGrant(l *Line, process string) {
	t, ok := b.takers[process]
	if !ok {
		t = &taker{box: l.Box}
		b.takers[process] = t
	}
	t.granted, t.returned = tokens(l, "granted"), tokens(l, "returned")
	if l.At >= b.restAt {
		b.restAt, b.Rest, b.Prepaid = l.At, tokens(l, "rest"), tokens(l, "prepaid")
	}
}

// noteTransfer keeps the largest total between two ends.
func (b *Budget) noteTransfer(totals map[transfer]granitehoist.Tokens, between transfer, l *Line) {
	totals[between] = max(totals[between], tokens(l, "total"))
}

// noteRequest adds what the end of a request says of the budget.
func (b *Budget) noteRequest(l *Line) {
	outcome := l.Get("budget")
	if outcome == "" {
		return
	}
	at := l.At.Truncate(budgetStep)
	row, ok := b.steps[at]
	if !ok {
		row = &budgetRow{refused: map[string]int{}}
		b.steps[at] = row
	}
	if outcome != "granted" {
		row.refused[outcome]++
		return
	}
	row.served++
	row.used += tokens(l, "used")
	b.Used += tokens(l, "used")
}

// tokens returns the value of a key; see Line.Number.
func tokens(l *Line, key string) granitehoist.Tokens { return granitehoist.Tokens(l.Number(key)) }

// Write prints the totals, who took tokens from the records, who lent them, and a
// table over time. Its error is that of w.
func (b *Budget) Write(w io.Writer) error {
	p := printer{w: w}
	p.line("budget of %s: prepaid %d, the store had %d left, used %d (%s)", b.Workspace, b.Prepaid, b.Rest, b.Used, percent(b.Used, b.Prepaid))
	p.line("taken from the store:")
	for _, name := range slices.Sorted(maps.Keys(b.takers)) {
		t := b.takers[name]
		state := "at the end of the log"
		if t.ended {
			state = "by a process that has ended: what it had left is lost"
		}
		p.line("  %-24s %10d, of which %d returned, %s", t.box, t.granted, t.returned, state)
	}
	p.line("lent by (less what came back):")
	lent := b.lentBy()
	for _, lender := range slices.Sorted(maps.Keys(lent)) {
		p.line("  %-48s %10d", lender, lent[lender])
	}
	p.line("from     served       used  refused")
	for _, at := range slices.Sorted(maps.Keys(b.steps)) {
		row := b.steps[at]
		p.line("%6.0f s %6d %10d  %s", at.Seconds(), row.served, row.used, countsOf(row.refused))
	}
	return p.err
}

// lentBy returns what each lender lent and did not get back.
func (b *Budget) lentBy() map[string]granitehoist.Tokens {
	lent := map[string]granitehoist.Tokens{}
	for between, total := range b.borrowed {
		lent[between.from] += total
	}
	for between, total := range b.repaid {
		lent[between.from] -= total
	}
	return lent
}

// countsOf returns counts by outcome in words.
func countsOf(refused map[string]int) string {
	text := ""
	for _, outcome := range slices.Sorted(maps.Keys(refused)) {
		text += fmt.Sprintf("%s %d  ", outcome, refused[outcome])
	}
	return text
}

// percent returns the part in percent; of nothing it is unknown.
func percent(part, all granitehoist.Tokens) string {
	if all <= 0 {
		return "prepaid total unknown"
	}
	return fmt.Sprintf("%.1f %%", 100*float64(part)/float64(all))
}

// printer writes lines until the first error, which it keeps.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}
