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

// ErrNoRequest says that the log has no line of the request.
var ErrNoRequest = eris.New("explain: the log has no line of this request")

// maxLineBytes bounds a line of the log in bytes; a longer one fails Read: lines of nodes
// have some hundred bytes.
const maxLineBytes = 1 << 20

// Story is what a log tells of one request. Read makes one.
type Story struct {
	Request   granitehoist.RequestID
	sentences []sentence
}

// sentence is one fact of a story, with the time (Line.At) and box of the line
// that it was read from.
type sentence struct {
	at   time.Duration
	box  string
	text string
}

// Read reads a log and collects the story of one request. It skips lines without
// an event. It returns ErrNoRequest if no line names the request, and an
// error if log can't be read or has a line above maxLineBytes.
func Read(log io.Reader, request granitehoist.RequestID) (*Story, error) {
	story := &Story{Request: request}
	boxes := map[string]*boxState{}
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := Parse(scanner.Text())
		if !ok {
			continue
		}
		box, ok := boxes[line.Box]
		if !ok {
			box = newBoxState()
			boxes[line.Box] = box
		}
		box.note(&line)
		story.addLateFailure(&line, box)
		if line.Get("request") == string(request) {
			story.addLine(&line, box)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(err, "explain: log")
	}
	if len(story.sentences) == 0 {
		return nil, ErrNoRequest
	}
	sort.SliceStable(story.sentences, func(i, j int) bool { return story.sentences[i].at < story.sentences[j].at })
	return story, nil
}

// Write prints the story, one line for each fact, with the time in seconds since
// the first fact and the box. Its error is that of w.
func (s *Story) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "request %s\n", s.Request); err != nil {
		return err
	}
	for _, t := range s.sentences {
		if _, err := fmt.Fprintf(w, "%9.3f s  %-22s %s\n", (t.at - s.sentences[0].at).Seconds(), t.box, t.text); err != nil {
			return err
		}
	}
	return nil
}
