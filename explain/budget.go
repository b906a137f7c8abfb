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

// ErrNoBudget is returned for a log without a line about the workspace's budget.
var ErrNoBudget = eris.New("explain: the log has no line of this workspace's budget")

// rowInterval is the time that one row of the table of BudgetReport.Write covers.
const rowInterval = 2 * time.Second

// BudgetReport summarises the log lines about one workspace's prepaid tokens. ReadBudget
// returns one. All amounts are in tokens.
type BudgetReport struct {
	Workspace granitehoist.Workspace
	// Prepaid and Remaining are the prepaid total and the tokens left in the store, both
	// after the last logged write of the record.
	Prepaid, Remaining granitehoist.Tokens
	// Used is what finished requests were charged. It lacks requests that were in
	// progress when their router died.
	Used granitehoist.Tokens

	// holders has an entry for each router process to which the store granted tokens, by
	// the name of the process (processName).
	holders map[string]*holder
	// borrowed holds the total lent by each lender to each borrowing process, and
	// repaid the total paid back.
	borrowed, repaid map[transfer]granitehoist.Tokens
	rows             map[time.Duration]*budgetRow
	// remainingAt is Line.At of the line from which Prepaid and Remaining were read.
	remainingAt time.Duration
}

// holder is a router process to which the store granted tokens. granted and returned are
// the totals in the last line that the process logged about them.
type holder struct {
	box               string
	granted, returned granitehoist.Tokens
	// ended is set if the box has started another process since.
	ended bool
}

// transfer identifies the lender and the borrower of loans and of repayments. from is the
// lender's incarnation as logged; to is the borrowing process, which logs both.
type transfer struct{ from, to string }

// budgetRow counts the requests of one rowInterval.
type budgetRow struct {
	served  int
	used    granitehoist.Tokens
	refused map[string]int
}

// ReadBudget reads a log and collects the lines about a workspace's prepaid tokens. It
// returns ErrNoBudget if there are none, and an error if log can't be read or has a
// line longer than maxLineBytes.
func ReadBudget(log io.Reader, workspace granitehoist.Workspace) (*BudgetReport, error) {
	b := &BudgetReport{
		Workspace: workspace, holders: map[string]*holder{}, rows: map[time.Duration]*budgetRow{},
		borrowed: map[transfer]granitehoist.Tokens{}, repaid: map[transfer]granitehoist.Tokens{},
	}
	starts := map[string]int{}
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := ParseLine(scanner.Text())
		if !ok {
			continue
		}
		process := processName(line.Box, starts[line.Box])
		switch {
		case line.Event == event.Start:
			b.markEnded(process)
			starts[line.Box]++
		case line.Get("workspace") == string(workspace):
			b.add(&line, process)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(err, "explain: log")
	}
	if len(b.rows) == 0 && len(b.holders) == 0 {
		return nil, ErrNoBudget
	}
	return b, nil
}

// processName returns the name by which a BudgetReport identifies the process of a box:
// the box and the number of its start lines so far in the log.
func processName(box string, starts int) string { return fmt.Sprintf("%s/%d", box, starts) }

// markEnded records that a process has ended.
func (b *BudgetReport) markEnded(process string) {
	if h, ok := b.holders[process]; ok {
		h.ended = true
	}
}

// add evaluates a line about the workspace that a process logged.
func (b *BudgetReport) add(l *Line, process string) {
	switch l.Event {
	case event.BudgetGrant:
		b.addGrant(l, process)
	case event.BudgetLoan:
		b.addTransfer(b.borrowed, transfer{from: l.Get("lender"), to: process}, l)
	case event.BudgetRepaid:
		b.addTransfer(b.repaid, transfer{from: l.Get("to"), to: process}, l)
	case event.Request:
		b.addRequest(l)
	}
}

// addGrant adds a line about a written budget record.
func (b *BudgetReport) addGrant(l *Line, process string) {
	h, ok := b.holders[process]
	if !ok {
		h = &holder{box: l.Box}
		b.holders[process] = h
	}
	h.granted, h.returned = tokens(l, "granted"), tokens(l, "returned")
	if l.At >= b.remainingAt {
		b.remainingAt, b.Remaining, b.Prepaid = l.At, tokens(l, "rest"), tokens(l, "prepaid")
	}
}

// addTransfer records the total of a loan or repayment line. Totals only grow, so the
// largest is kept.
func (b *BudgetReport) addTransfer(totals map[transfer]granitehoist.Tokens, parties transfer, l *Line) {
	totals[parties] = max(totals[parties], tokens(l, "total"))
}

// addRequest counts a finished request.
func (b *BudgetReport) addRequest(l *Line) {
	outcome := l.Get("budget")
	if outcome == "" {
		return
	}
	at := l.At.Truncate(rowInterval)
	row, ok := b.rows[at]
	if !ok {
		row = &budgetRow{refused: map[string]int{}}
		b.rows[at] = row
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

// Write prints the totals, the processes with grants, the lenders, and a table over
// time. It returns the first error of w.
func (b *BudgetReport) Write(w io.Writer) error {
	p := printer{w: w}
	p.line("budget of %s: prepaid %d, the store had %d left, used %d (%s)", b.Workspace, b.Prepaid, b.Remaining, b.Used, percent(b.Used, b.Prepaid))
	p.line("taken from the store:")
	for _, name := range slices.Sorted(maps.Keys(b.holders)) {
		h := b.holders[name]
		state := "at the end of the log"
		if h.ended {
			state = "by a process that has ended: what it had left is lost"
		}
		p.line("  %-24s %10d, of which %d returned, %s", h.box, h.granted, h.returned, state)
	}
	p.line("lent by (net of repayments):")
	lent := b.lentBy()
	for _, lender := range slices.Sorted(maps.Keys(lent)) {
		p.line("  %-48s %10d", lender, lent[lender])
	}
	p.line("from     served       used  refused")
	for _, at := range slices.Sorted(maps.Keys(b.rows)) {
		row := b.rows[at]
		p.line("%6.0f s %6d %10d  %s", at.Seconds(), row.served, row.used, formatCounts(row.refused))
	}
	return p.err
}

// lentBy returns each lender's loans net of repayments.
func (b *BudgetReport) lentBy() map[string]granitehoist.Tokens {
	lent := map[string]granitehoist.Tokens{}
	for parties, total := range b.borrowed {
		lent[parties.from] += total
	}
	for parties, total := range b.repaid {
		lent[parties.from] -= total
	}
	return lent
}

// formatCounts returns the counts by outcome as text.
func formatCounts(refused map[string]int) string {
	text := ""
	for _, outcome := range slices.Sorted(maps.Keys(refused)) {
		text += fmt.Sprintf("%s %d  ", outcome, refused[outcome])
	}
	return text
}

// percent formats part as a percentage of all; it is unknown if all is not positive.
func percent(part, all granitehoist.Tokens) string {
	if all <= 0 {
		return "prepaid total unknown"
	}
	return fmt.Sprintf("%.1f %%", 100*float64(part)/float64(all))
}

// printer writes lines until the first error, which it stores in err.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}
