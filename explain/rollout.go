// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
)

// ErrNoRollout is returned for a log without a line about a roll-out of the service.
var ErrNoRollout = eris.New("explain: the log has no line of a roll-out of this service")

// RolloutReport summarises the log lines about the orders to move one service to another
// release. ReadRollout returns one.
type RolloutReport struct {
	Service granitehoist.Service
	// orders holds the steps of each order by its version, 0 for an unreadable one.
	orders map[granitehoist.Version]*rolloutOrder
}

// rolloutOrder is what the log says about one order.
type rolloutOrder struct {
	target  string
	elapsed time.Duration
	phase   string
	steps   map[string]*rolloutStep
}

// rolloutStep is one step of an order, which several boxes may have logged.
type rolloutStep struct {
	// text describes the step as the first box logged it.
	text        string
	first, last time.Duration
	firstBox    string
	boxes       map[string]bool
}

// ReadRollout reads a log and collects the lines about the roll-outs of a service. It
// returns ErrNoRollout if there are none, and an error if log can't be read or has a line
// longer than maxLineBytes.
func ReadRollout(log io.Reader, service granitehoist.Service) (*RolloutReport, error) {
	r := &RolloutReport{Service: service, orders: map[granitehoist.Version]*rolloutOrder{}}
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := ParseLine(scanner.Text())
		if ok && line.Get("service") == string(service) {
			r.add(&line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(err, "explain: log")
	}
	if len(r.orders) == 0 {
		return nil, ErrNoRollout
	}
	return r, nil
}

// add evaluates a line about the service.
func (r *RolloutReport) add(l *Line) {
	switch l.Event {
	case event.RolloutOrder:
		o := r.order(l, "version")
		if target := l.Get("target"); target != "" {
			o.target = target
		}
		o.add(l, orderStep(l))
	case event.RolloutStage:
		o := r.order(l, "order")
		if o.target == "" {
			o.target = l.Get("target")
		}
		o.add(l, stageStep(l))
	case event.RolloutFinding:
		r.order(l, "order").add(l, findingStep(l))
	case event.RolloutVerdict:
		o := r.order(l, "order")
		o.addPhase(l)
		o.add(l, verdictStep(l))
	case event.RolloutWriteFailed:
		text := "a write failed: " + l.Get("error")
		r.order(l, "order").add(l, step{key: text, text: text})
	}
}

// order returns the order whose version a line has under a key.
func (r *RolloutReport) order(l *Line, key string) *rolloutOrder {
	// A line without a version concerns an order that could not be read.
	version, _ := strconv.ParseUint(l.Get(key), 10, 64)
	o := r.orders[granitehoist.Version(version)]
	if o == nil {
		o = &rolloutOrder{steps: map[string]*rolloutStep{}}
		r.orders[granitehoist.Version(version)] = o
	}
	return o
}

// addPhase keeps the phase of the latest verdict.
func (o *rolloutOrder) addPhase(l *Line) {
	if elapsed := secondsOf(l, "elapsed"); o.phase == "" || elapsed >= o.elapsed {
		o.phase, o.elapsed = l.Get("phase"), elapsed
	}
}

// step is what a line says. Lines of several boxes with the same key tell the same step.
type step struct{ key, text string }

// add adds what a line says to the order's steps.
func (o *rolloutOrder) add(l *Line, said step) {
	s := o.steps[said.key]
	if s == nil {
		s = &rolloutStep{text: said.text, first: l.At, last: l.At, firstBox: l.Box, boxes: map[string]bool{}}
		o.steps[said.key] = s
	}
	if l.At < s.first {
		s.text, s.first, s.firstBox = said.text, l.At, l.Box
	}
	s.last = max(s.last, l.At)
	s.boxes[l.Box] = true
}

// orderStep describes a line about the order itself.
func orderStep(l *Line) step {
	text := "the order was " + l.Get("what")
	switch l.Get("what") {
	case "received":
		text = fmt.Sprintf("the order to move to %s within %s s was received", l.Get("target"), l.Get("duration"))
	case "replaced":
		text = "a newer order replaced it"
	case "in_force":
		text = fmt.Sprintf("%s already was the only release that is ready", l.Get("target"))
	}
	return step{key: text, text: text}
}

// stageStep describes a line about a stage.
func stageStep(l *Line) step {
	text := "stage " + l.Get("stage")
	if share := l.Number("share"); share > 0 {
		text += fmt.Sprintf(", %.0f %% to the target", 100*share)
	}
	if by := l.Get("by"); by != "" {
		text += ", decided by " + by
	}
	return step{key: text, text: withReason(text, l)}
}

// findingStep describes a line about a finding.
func findingStep(l *Line) step {
	where := "on all routes together"
	if route := l.Get("route"); route != "" {
		where = "on route " + route
	}
	text := fmt.Sprintf("the target was found worse %s: %s; %s answers, %s of them failed or slow, against %s of the baseline, reports up to %s s old",
		where, l.Get("reason"), l.Get("answers"), l.Get("bad"), l.Get("control"), l.Get("age"))
	if l.Get("stopped") == "true" {
		text += "; stopped sending to it"
	}
	return step{key: "finding " + where, text: text}
}

// verdictStep describes a line about a status in the store.
func verdictStep(l *Line) step {
	text := fmt.Sprintf("status %s, version %s, written by %s %s s after the order", l.Get("phase"), l.Get("version"), l.Get("by"), l.Get("elapsed"))
	return step{key: fmt.Sprintf("status %s %s", l.Get("phase"), l.Get("version")), text: withReason(text, l)}
}

// withReason appends the reason in a line, if it has one.
func withReason(text string, l *Line) string {
	if reason := l.Get("reason"); reason != "" {
		return text + ": " + reason
	}
	return text
}

// secondsOf returns the value of a key in seconds; see Line.Number.
func secondsOf(l *Line, key string) time.Duration {
	return time.Duration(l.Number(key) * float64(time.Second))
}

// Write prints each order with its steps in time. It returns the first error of w.
func (r *RolloutReport) Write(w io.Writer) error {
	p := printer{w: w}
	p.line("roll-outs of %s", r.Service)
	for _, version := range slices.Sorted(maps.Keys(r.orders)) {
		r.orders[version].write(&p, version)
	}
	return p.err
}

// write prints the order. Times are counted from its first line.
func (o *rolloutOrder) write(p *printer, version granitehoist.Version) {
	outcome := "no status in the log"
	if o.phase != "" {
		outcome = fmt.Sprintf("%s %.1f s after the order", o.phase, o.elapsed.Seconds())
	}
	name := fmt.Sprintf("order %d", version)
	if version == 0 {
		name = "unreadable orders"
	}
	p.line("%s, target %s: %s", name, cmp.Or(o.target, "unknown"), outcome)
	steps := slices.SortedFunc(maps.Values(o.steps), func(a, b *rolloutStep) int {
		return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.text, b.text))
	})
	for _, s := range steps {
		start := steps[0].first
		p.line("%8.2f s  %-24s %s", (s.first - start).Seconds(), s.by(start), s.text)
	}
}

// by returns which boxes logged the step, and until when.
func (s *rolloutStep) by(start time.Duration) string {
	if others := len(s.boxes) - 1; others > 0 {
		return fmt.Sprintf("%s, +%d until %.2f s", s.firstBox, others, (s.last - start).Seconds())
	}
	return s.firstBox
}
