// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/readlimit"
)

var (
	// dataField begins the lines of a stream that contain an event. Other lines are
	// comments, event names and separators, which are skipped.
	dataField = []byte("data:")
	// doneMarker is the data of the event that ends a stream.
	doneMarker = []byte("[DONE]")
)

const (
	// maxEventSize is the largest line of a stream, in bytes.
	maxEventSize = 1 << 20
	// maxResumes bounds how often one stream is resumed after interruptions.
	maxResumes = 3
)

// forwardStream forwards the events of a response, and doneMarker only if each choice has
// a finish reason. An interrupted stream is resumed at the same engine, from the event
// after the last complete event.
func (e *Engine) forwardStream(ctx context.Context, r *http.Response, c granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
	state := streamState{attempt: c.Attempt, unfinished: map[int]bool{}}
	err := e.forwardEvents(r, c, sink, &state)
	for range maxResumes {
		if !errors.Is(err, errStreamInterrupted) || ctx.Err() != nil || !state.choiceSeen {
			break
		}
		resumed, end, resumeErr := e.resume(ctx, c, state.events)
		if resumeErr != nil {
			// Return the error of the interruption, which is more informative.
			break
		}
		err = e.forwardEvents(resumed, c, sink, &state)
		end()
	}
	return state.usage, err
}

// errStreamInterrupted marks errors after which the stream may be resumed.
var errStreamInterrupted = errors.New("upstream: stream interrupted")

// resume asks the engine for the rest of a stream after the first events.
func (e *Engine) resume(ctx context.Context, c granitehoist.Call, events int) (*http.Response, func(), error) {
	call := granitehoist.Call{
		Attempt: c.Attempt,
		Address: c.Address,
		Method:  http.MethodGet,
		Path:    PathResume + "?from=" + strconv.Itoa(events),
	}
	response, end, err := e.sender.open(ctx, call)
	if err != nil {
		return nil, nil, err
	}
	if response.StatusCode != http.StatusOK {
		end()
		return nil, nil, statusError(response)
	}
	return response, end, nil
}

// forwardEvents forwards the events of one HTTP response up to doneMarker. The status
// line and headers are sent with the first event, so that an error before the first event
// can still be sent with its own status.
func (e *Engine) forwardEvents(r *http.Response, c granitehoist.Call, sink granitehoist.Sink, state *streamState) error {
	reader := bufio.NewReader(r.Body)
	for {
		line, err := readLine(reader)
		if err != nil {
			return streamReadError(err)
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), dataField)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		done := bytes.Equal(data, doneMarker)
		usageOnly, err := state.check(data, done)
		if err != nil {
			return err
		}
		if usageOnly && c.HideUsage {
			continue
		}
		if !state.headersSent {
			state.headersSent = true
			if err := sink.Start(r.StatusCode, EndToEndHeader(r.Header, HeaderAttempt, "Content-Length")); err != nil {
				return granitehoist.Wrap(granitehoist.CallerGone, err, "")
			}
		}
		if err := sink.Write(encodeEvent(data)); err != nil {
			return granitehoist.Wrap(granitehoist.CallerGone, err, "")
		}
		if done {
			// Drain the body so that the connection can be reused. An error only
			// prevents that; the response is complete.
			_, _ = io.CopyN(io.Discard, reader, maxEventSize)
			return nil
		}
	}
}

// streamReadError returns the error of a stream that could not be read further. It may be
// resumed unless it exceeded a bound.
func streamReadError(err error) error {
	if readlimit.Of(err) != nil {
		return bodyError(err)
	}
	return granitehoist.Wrap(granitehoist.UpstreamCut, errors.Join(errStreamInterrupted, err), "")
}

// encodeEvent returns data as one server-sent event.
func encodeEvent(data []byte) []byte {
	out := make([]byte, 0, len(data)+len("data: \n\n"))
	out = append(out, "data: "...)
	out = append(out, data...)
	return append(out, "\n\n"...)
}

// readLine returns one line including the newline, or an error if it is longer than
// maxEventSize.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxEventSize {
			return nil, &readlimit.Error{Part: readlimit.Event, Bound: readlimit.Bytes, Read: int64(len(line))}
		}
		if err == nil {
			return line, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// streamState is the state of a stream across its resumptions.
type streamState struct {
	attempt granitehoist.AttemptID
	// headersSent is set once the caller has the status line and headers.
	headersSent bool
	// choiceSeen is set once an event with a choice was read. Before that there is
	// nothing to resume, and doneMarker is an error.
	choiceSeen bool
	// events is the number of events with a choice, from which resume continues.
	events int
	// unfinished is the set of choices without a finish reason, by index.
	unfinished map[int]bool
	usage      granitehoist.Usage
}

// check validates one event and updates the state. done means that data is doneMarker.
// usageOnly reports whether the event has a usage and no choices.
func (s *streamState) check(data []byte, done bool) (usageOnly bool, err error) {
	if done {
		if !s.choiceSeen || len(s.unfinished) > 0 {
			return false, granitehoist.Errorf(granitehoist.UpstreamCut, "the stream ended before each choice had a finish reason")
		}
		return false, nil
	}
	var response engineResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return false, granitehoist.Wrap(granitehoist.UpstreamBadAnswer, err, "")
	}
	if len(response.Error) > 0 && string(response.Error) != "null" {
		return false, granitehoist.Errorf(granitehoist.UpstreamCut, "the upstream reported an error in the stream")
	}
	if !response.belongsTo(s.attempt) {
		return false, granitehoist.Errorf(granitehoist.AnswerCrossed, "")
	}
	if len(response.Choices) > 0 {
		s.choiceSeen = true
		s.events++
	}
	for _, choice := range response.Choices {
		s.unfinished[choice.Index] = true
		if choice.FinishReason != nil && *choice.FinishReason != "" {
			delete(s.unfinished, choice.Index)
		}
	}
	if usage := response.Usage.usage(); usage.Reported {
		s.usage = usage
	}
	return response.Usage != nil && len(response.Choices) == 0, nil
}
