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
)

var (
	// dataField begins the lines of a stream that hold an event. Other lines are
	// comments and event names, which carry nothing of the answer.
	dataField = []byte("data:")
	// endMark is the data of the last event.
	endMark = []byte("[DONE]")
)

const (
	// maxEventSize bounds one line of a stream, in bytes.
	maxEventSize = 1 << 20
	// maxResumes bounds how often one stream is resumed. With it the trial's
	// callers with a cut stream went from 4, 2 and 3 of 500 to none (seeds 1, 2
	// and 3, commit 34c8284). The value was chosen.
	maxResumes = 3
)

// passStream passes on the events of an answer. It passes on the end mark only if
// every choice has a finish reason. A stream that breaks off is resumed at the
// same engine, from the event after the last complete one.
func (e *Engine) passStream(ctx context.Context, r *http.Response, c granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
	state := streamState{attempt: c.Attempt, unfinished: map[int]bool{}}
	err := e.passEvents(r, c, sink, &state)
	for range maxResumes {
		if !errors.Is(err, errBrokenOff) || ctx.Err() != nil || !state.choiceSeen {
			break
		}
		resumed, end, resumeErr := e.resume(ctx, c, state.events)
		if resumeErr != nil {
			// The error of the break, which the caller gets, says more.
			break
		}
		err = e.passEvents(resumed, c, sink, &state)
		end()
	}
	return state.usage, err
}

// errBrokenOff is the cause of an error after which the stream may be resumed.
var errBrokenOff = errors.New("upstream: the stream broke off")

// resume asks the engine to go on with a stream after a number of events.
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

// passEvents passes on the events of one response until its end mark. The head of
// the answer is sent with the first event, so that a caller gets a clean error
// as long as there is none.
func (e *Engine) passEvents(r *http.Response, c granitehoist.Call, sink granitehoist.Sink, state *streamState) error {
	reader := bufio.NewReader(r.Body)
	for {
		line, err := readLine(reader)
		if err != nil {
			return granitehoist.Wrap(granitehoist.UpstreamCut, errors.Join(errBrokenOff, err), "")
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), dataField)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		done := bytes.Equal(data, endMark)
		hidden, err := state.check(data, done)
		if err != nil {
			return err
		}
		if hidden && c.HideUsage {
			continue
		}
		if !state.headSent {
			state.headSent = true
			if err := sink.Start(r.StatusCode, CopyHeader(r.Header, HeaderAttempt, "Content-Length")); err != nil {
				return granitehoist.Wrap(granitehoist.CallerGone, err, "")
			}
		}
		if err := sink.Write(encodeEvent(data)); err != nil {
			return granitehoist.Wrap(granitehoist.CallerGone, err, "")
		}
		if done {
			// Read what follows the end mark, so that the connection can be used
			// again. An error only means that it can't; the answer is complete.
			_, _ = io.CopyN(io.Discard, reader, maxEventSize)
			return nil
		}
	}
}

// encodeEvent returns one event as it is sent to callers.
func encodeEvent(data []byte) []byte {
	out := make([]byte, 0, len(data)+len("data: \n\n"))
	out = append(out, "data: "...)
	out = append(out, data...)
	return append(out, "\n\n"...)
}

// readLine returns one line with its end, or an error if it is longer than
// maxEventSize.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxEventSize {
			return nil, errors.New("upstream: event too large")
		}
		if err == nil {
			return line, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// streamState is what was read of a stream so far, over all its responses.
type streamState struct {
	attempt granitehoist.AttemptID
	// headSent says that the caller has the head of the answer.
	headSent bool
	// choiceSeen says that an event with a choice was read. Before it there is
	// nothing to resume, and an end mark is an error.
	choiceSeen bool
	// events counts those with a part of the answer.
	events int
	// unfinished holds the choices without a finish reason, by index.
	unfinished map[int]bool
	usage      granitehoist.Usage
}

// check checks one event, and reports whether it holds usage and no choices.
func (s *streamState) check(data []byte, done bool) (usageOnly bool, err error) {
	if done {
		if !s.choiceSeen || len(s.unfinished) > 0 {
			return false, granitehoist.Errorf(granitehoist.UpstreamCut, "the stream ended before its answer")
		}
		return false, nil
	}
	var a engineAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		return false, granitehoist.Wrap(granitehoist.UpstreamBadAnswer, err, "")
	}
	if len(a.Error) > 0 && string(a.Error) != "null" {
		return false, granitehoist.Errorf(granitehoist.UpstreamCut, "the upstream reported an error in the stream")
	}
	if !a.belongsTo(s.attempt) {
		return false, granitehoist.Errorf(granitehoist.AnswerCrossed, "")
	}
	if len(a.Choices) > 0 {
		s.choiceSeen = true
		s.events++
	}
	for _, choice := range a.Choices {
		s.unfinished[choice.Index] = true
		if choice.FinishReason != nil && *choice.FinishReason != "" {
			delete(s.unfinished, choice.Index)
		}
	}
	if usage := a.Usage.usage(); usage.Reported {
		s.usage = usage
	}
	return a.Usage != nil && len(a.Choices) == 0, nil
}
