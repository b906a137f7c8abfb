// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package explain

import (
	"strconv"
	"strings"
	"time"
)

// Line is one log line of key=value pairs.
type Line struct {
	// Box is the node that wrote the line, empty if the log does not say.
	Box string
	// At orders the lines of all boxes: the time of the log's reader if it
	// gives one, else the box's own clock.
	At time.Duration
	// Event is the name of the event.
	Event  string
	fields map[string]string
}

// Get returns the value of a key, empty if the line has none.
func (l *Line) Get(key string) string { return l.fields[key] }

// Number returns the value of a key as a number, 0 if it is none.
func (l *Line) Number(key string) float64 {
	value, err := strconv.ParseFloat(l.fields[key], 64)
	if err != nil {
		return 0
	}
	return value
}

// Parse reads a log line. A reader may have put a time in seconds and the name
// of the box before it. It returns false for a line without an event.
func Parse(text string) (Line, bool) {
	l := Line{fields: map[string]string{}}
	start := strings.Index(text, "ts=")
	if start < 0 {
		return Line{}, false
	}
	prefix := strings.Fields(text[:start])
	parsePairs(text[start:], l.fields)
	l.Event = l.fields["event"]
	if l.Event == "" {
		return Line{}, false
	}
	if len(prefix) >= 2 {
		seconds, err := strconv.ParseFloat(prefix[0], 64)
		if err == nil {
			l.Box = prefix[1]
			l.At = time.Duration(seconds * float64(time.Second))
			return l, true
		}
	}
	if at, err := time.Parse(time.RFC3339Nano, l.fields["ts"]); err == nil {
		l.At = time.Duration(at.UnixNano())
	}
	if len(prefix) == 1 {
		l.Box = strings.TrimSuffix(prefix[0], ":")
	}
	return l, true
}

// parsePairs reads key=value pairs; values may be quoted.
func parsePairs(text string, into map[string]string) {
	for {
		text = strings.TrimLeft(text, " \t\r\n")
		key, remaining, found := strings.Cut(text, "=")
		if !found {
			return
		}
		value, after := cutValue(remaining)
		into[key] = value
		text = after
	}
}

func cutValue(text string) (value, remaining string) {
	if strings.HasPrefix(text, "\"") {
		quoted, err := strconv.QuotedPrefix(text)
		if err == nil {
			value, _ = strconv.Unquote(quoted)
			return value, text[len(quoted):]
		}
	}
	end := strings.IndexAny(text, " \t\r\n")
	if end < 0 {
		return text, ""
	}
	return text[:end], text[end:]
}
