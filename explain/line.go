// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package explain

import (
	"strconv"
	"strings"
	"time"
)

// Line is one log line of key=value pairs. It is not changed after ParseLine.
type Line struct {
	// Box is the box that wrote the line, empty if the log does not have it.
	Box string
	// At orders the lines of all boxes. It is the time that the log collector prefixed
	// to the line, else the box's own time since the Unix epoch, and zero for a line
	// with neither.
	At time.Duration
	// Event is the name of the event.
	Event  string
	fields map[string]string
}

// Get returns the value of a key, empty if the line has none.
func (l *Line) Get(key string) string { return l.fields[key] }

// Number returns the value of a key as a number, 0 if the line has no such key or the
// value is not a number.
func (l *Line) Number(key string) float64 {
	value, err := strconv.ParseFloat(l.fields[key], 64)
	if err != nil {
		return 0
	}
	return value
}

// ParseLine parses a log line, which may have a time in seconds and the name of the box as
// a prefix. It returns false for a line without an event.
func ParseLine(text string) (Line, bool) {
	l := Line{fields: map[string]string{}}
	start := strings.Index(text, "ts=")
	if start < 0 {
		return Line{}, false
	}
	parsePairs(text[start:], l.fields)
	l.Event = l.fields["event"]
	if l.Event == "" {
		return Line{}, false
	}
	l.parsePrefix(strings.Fields(text[:start]))
	return l, true
}

// parsePrefix sets Box and At from the words before the pairs: a time in seconds and
// the name of the box, or the name alone, followed by a colon.
func (l *Line) parsePrefix(words []string) {
	if len(words) >= 2 {
		// If the first word is not a time, the box's own time is used.
		if seconds, err := strconv.ParseFloat(words[0], 64); err == nil {
			l.Box = words[1]
			l.At = time.Duration(seconds * float64(time.Second))
			return
		}
	}
	// At stays zero if ts can't be parsed, which sorts the line first.
	if at, err := time.Parse(time.RFC3339Nano, l.fields["ts"]); err == nil {
		l.At = time.Duration(at.UnixNano())
	}
	if len(words) == 1 {
		l.Box = strings.TrimSuffix(words[0], ":")
	}
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

// cutValue returns the value at the beginning of text and what follows it. An
// unterminated quote is part of an unquoted value.
func cutValue(text string) (value, remaining string) {
	if strings.HasPrefix(text, "\"") {
		quoted, err := strconv.QuotedPrefix(text)
		if err == nil {
			// Unquote can't fail on what QuotedPrefix returns.
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
