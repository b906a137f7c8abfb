// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"mime"
	"net/http"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/internal/readlimit"
)

// maxBufferedBytes bounds the body of a response that is buffered before it is relayed.
const maxBufferedBytes = 8 << 20

// bufferedResponse is a response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// buffer holds body until release.
	buffer *readlimit.Buffer
}

// release frees the memory of the body, which can't be used any more.
func (b *bufferedResponse) release() { b.buffer.Release() }

// readBuffered reads a response to its end, into memory shared with other reads. The caller
// must release the result. The error has code UpstreamCut if the body was truncated, and
// UpstreamBadAnswer if it exceeds a bound.
func readBuffered(response *exchange.Response, memory *readlimit.Memory) (bufferedResponse, error) {
	buffer := &readlimit.Buffer{Part: readlimit.Body, MaxBytes: maxBufferedBytes, Memory: memory}
	body, err := buffer.ReadAll(response, response.Length)
	if err != nil {
		buffer.Release()
		return bufferedResponse{}, readError(err)
	}
	return bufferedResponse{status: response.Status, header: response.Header, body: body, buffer: buffer}, nil
}

// readError returns the error of an attempt whose body could not be read: UpstreamBadAnswer
// if it exceeds a bound, UpstreamCut otherwise.
func readError(err error) error {
	if readlimit.Of(err) != nil {
		return granitehoist.Wrap(granitehoist.UpstreamBadAnswer, err, "")
	}
	return granitehoist.Wrap(granitehoist.UpstreamCut, err, "")
}

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// mayBeEventStream reports whether a response with header h may be a stream of events. A
// response without a type may be one.
func mayBeEventStream(h http.Header) bool {
	stated := h.Get("Content-Type")
	if stated == "" {
		return true
	}
	// An invalid type gives an empty one.
	mediaType, _, _ := mime.ParseMediaType(stated)
	return mediaType == eventStreamType
}

// relayResponse relays a usable response: a stream event by event, any other response
// once it was read completely.
func (a *activeRequest) relayResponse(response *exchange.Response, lease *balance.Lease, timer *stallTimer) error {
	if a.admission.route.Kind == catalog.Stream && response.Status < http.StatusMultipleChoices && mayBeEventStream(response.Header) {
		return a.relayStream(response, lease, timer)
	}
	buffered, err := readBuffered(response, a.forwarder.settings.ReadMemory)
	if err != nil {
		return err
	}
	defer buffered.release()
	return a.relayBuffered(buffered)
}

// relayBuffered relays a buffered response. Its error has code CallerGone.
func (a *activeRequest) relayBuffered(buffered bufferedResponse) error {
	if err := a.relayHead(buffered.status, buffered.header); err != nil {
		return err
	}
	return a.relayUncounted(buffered.body)
}

// relayUncounted relays a part of the body that is no counted event. The caller may have any
// of it, also after an error. Its error has code CallerGone.
func (a *activeRequest) relayUncounted(part []byte) error {
	a.progress.uncounted = a.progress.uncounted || len(part) > 0
	return a.relayBody(part)
}

// relayHead relays the head of a response unless the caller has one already. Its error
// has code CallerGone.
func (a *activeRequest) relayHead(status int, header http.Header) error {
	if a.progress.started {
		return nil
	}
	a.progress.started = true
	a.progress.firstByteAt = a.forwarder.settings.Clock()
	if err := a.sink.Start(status, exchange.EndToEndHeader(header)); err != nil {
		return granitehoist.Wrap(granitehoist.CallerGone, err, "")
	}
	return nil
}

// relayBody relays a part of the body. Its error has code CallerGone.
func (a *activeRequest) relayBody(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	if err := a.sink.Write(part); err != nil {
		return granitehoist.Wrap(granitehoist.CallerGone, err, "")
	}
	a.progress.relayedBytes += int64(len(part))
	return nil
}
