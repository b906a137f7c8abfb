// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"errors"
	"io"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/internal/eventstream"
)

// relayStream relays each event as soon as it is complete. It relays the head only with
// the first event, so that another instance can serve the request until then.
func (a *activeRequest) relayStream(response *exchange.Response, lease *balance.Lease, timer *stallTimer) error {
	reader := newStreamReader(response, a.forwarder.settings.ReadMemory, maxStreamEvents(a.request.MaxCost))
	defer reader.release()
	for {
		events, readErr := reader.next()
		if len(events) > 0 {
			lease.Events(len(events), a.forwarder.settings.Clock())
			timer.restart()
			if err := a.relayEvents(response, lease, events); err != nil {
				return err
			}
		}
		switch {
		case readErr == nil:
		case errors.Is(readErr, io.EOF):
			return a.endStream(response, reader.incomplete())
		default:
			return readError(readErr)
		}
	}
}

// relayEvents relays the events that the caller does not have yet. The ids of events must
// be consecutive; the first one of a stream may be any.
func (a *activeRequest) relayEvents(response *exchange.Response, lease *balance.Lease, events []eventstream.Event) error {
	last := &a.progress.lastEventID
	for _, event := range events {
		if event.HasID && !last.IsNone() {
			if event.ID <= last.Number() {
				continue
			}
			if event.ID != last.Number()+1 {
				return granitehoist.Errorf(granitehoist.UpstreamBadAnswer, "event %d follows %s", event.ID, *last)
			}
		}
		a.recordOrigin(lease)
		if err := a.relayHead(response.Status, response.Header); err != nil {
			return err
		}
		if err := a.relayEvent(event); err != nil {
			return err
		}
		if event.HasID {
			*last = granitehoist.NewEventID(event.ID)
		}
	}
	return nil
}

// relayEvent relays one event. Its error has code CallerGone.
func (a *activeRequest) relayEvent(event eventstream.Event) error {
	if !isCounted(event) {
		return a.relayUncounted(event.Raw)
	}
	if err := a.relayBody(event.Raw); err != nil {
		return err
	}
	a.progress.events++
	return nil
}

// isCounted reports whether an event carries no more than the tokens of one event of the
// service. Only events with an id are steps of a model's stream.
func isCounted(event eventstream.Event) bool { return event.HasID }

// endStream relays the bytes after the last event. If the end of the connection delimits
// the body, these bytes are a truncated event, and a body without any event was cut before the
// first: endStream then relays nothing and returns an error with code UpstreamCut.
func (a *activeRequest) endStream(response *exchange.Response, remaining []byte) error {
	switch {
	case response.Framed:
	case len(remaining) > 0:
		return granitehoist.Wrap(granitehoist.UpstreamCut, io.ErrUnexpectedEOF, "the stream ended within an event")
	case !a.progress.started:
		return granitehoist.Wrap(granitehoist.UpstreamCut, io.ErrUnexpectedEOF, "the stream ended before its first event")
	}
	if err := a.relayHead(response.Status, response.Header); err != nil {
		return err
	}
	return a.relayUncounted(remaining)
}
