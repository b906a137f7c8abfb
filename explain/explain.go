// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package explain

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
)

// ErrNoRequest is returned for a log without a line about the request.
var ErrNoRequest = eris.New("explain: the log has no line of this request")

// maxLineBytes bounds a line of the log in bytes; Read fails for a longer one.
const maxLineBytes = 1 << 20

// Timeline holds the facts of a log about one request, in order of time. Read returns one.
type Timeline struct {
	Request granitehoist.RequestID
	facts   []fact
}

// fact is one sentence with the time (Line.At) and box of the line that it was read
// from.
type fact struct {
	at   time.Duration
	box  string
	text string
}

// Read reads a log and collects the facts about one request. It skips lines without an
// event. It returns ErrNoRequest if no line has the request, and an error if log can't
// be read or has a line longer than maxLineBytes.
func Read(log io.Reader, request granitehoist.RequestID) (*Timeline, error) {
	timeline := &Timeline{Request: request}
	boxes := map[string]*boxState{}
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := ParseLine(scanner.Text())
		if !ok {
			continue
		}
		box, ok := boxes[line.Box]
		if !ok {
			box = newBoxState()
			boxes[line.Box] = box
		}
		box.update(&line)
		timeline.addLateFailure(&line, box)
		if line.Get("request") == string(request) {
			timeline.addLine(&line, box)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(err, "explain: log")
	}
	if len(timeline.facts) == 0 {
		return nil, ErrNoRequest
	}
	sort.SliceStable(timeline.facts, func(i, j int) bool { return timeline.facts[i].at < timeline.facts[j].at })
	return timeline, nil
}

// Write prints one line for each fact, with the time in seconds since the first fact
// and the box. It returns the first error of w.
func (t *Timeline) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "request %s\n", t.Request); err != nil {
		return err
	}
	for _, f := range t.facts {
		if _, err := fmt.Fprintf(w, "%9.3f s  %-22s %s\n", (f.at - t.facts[0].at).Seconds(), f.box, f.text); err != nil {
			return err
		}
	}
	return nil
}
