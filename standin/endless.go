// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"bytes"
	"fmt"
	"net"
	"time"
)

// Endless describes a response without an end. The zero value is none.
type Endless struct {
	// Part is the part that has no end.
	Part EndlessPart
	// Pause is the time between two bytes; zero sends them at once.
	Pause time.Duration
}

// EndlessPart is the part of a response that has no end.
type EndlessPart string

// The parts that may have no end.
const (
	// EndlessLine is bytes without a line end in the place of the status line.
	EndlessLine EndlessPart = "line"
	// EndlessField is a header field, EndlessFields a header.
	EndlessField  EndlessPart = "field"
	EndlessFields EndlessPart = "fields"
	// EndlessInterim is a sequence of interim responses.
	EndlessInterim EndlessPart = "interim"
	// EndlessChunkSize is a chunk size, EndlessChunks a body of chunks of one byte, and
	// EndlessTrailers the trailers of an empty body.
	EndlessChunkSize EndlessPart = "chunk size"
	EndlessChunks    EndlessPart = "chunks"
	EndlessTrailers  EndlessPart = "trailers"
	// EndlessEvent is an event of a stream, EndlessEvents a stream of small events, and
	// EndlessEventChunkSize the chunk size after an event.
	EndlessEvent          EndlessPart = "event"
	EndlessEvents         EndlessPart = "events"
	EndlessEventChunkSize EndlessPart = "event chunk size"
	// EndlessBody is a body, EndlessRefusal the body of a response to a request that did
	// not run, and EndlessFailure that of a response with status 500.
	EndlessBody    EndlessPart = "body"
	EndlessRefusal EndlessPart = "refusal"
	EndlessFailure EndlessPart = "failure"
)

// EndlessParts returns all parts that may have no end.
func EndlessParts() []EndlessPart {
	return []EndlessPart{
		EndlessLine, EndlessField, EndlessFields, EndlessInterim, EndlessChunkSize, EndlessChunks, EndlessTrailers,
		EndlessEvent, EndlessEvents, EndlessEventChunkSize, EndlessBody, EndlessRefusal, EndlessFailure,
	}
}

const (
	// maxEndlessBytes ends an endless response to a router that does not close the
	// connection.
	maxEndlessBytes = 512 << 20
	// endlessBlockBytes is the size of a write without a pause.
	endlessBlockBytes = 64 << 10
)

// Framings of endless responses.
const (
	chunkedFraming  = "Transfer-Encoding: chunked\r\n"
	unframedFraming = "Connection: close\r\n"
	eventFraming    = "Content-Type: text/event-stream\r\n"
)

// endlessText returns what an endless response begins with and what it repeats.
func (w *Worker) endlessText(request ReceivedRequest, part EndlessPart) (begin, repeat string) {
	head := func(response WorkerResponse, framing string) string { return w.head(request, response, framing) }
	whole := WorkerResponse{}
	switch part {
	case EndlessLine:
		return "", "\xa5"
	case EndlessField:
		return "HTTP/1.1 200 OK\r\nField: ", "x"
	case EndlessFields:
		return "HTTP/1.1 200 OK\r\n", "Field: value\r\n"
	case EndlessInterim:
		return "", "HTTP/1.1 103 Early Hints\r\nField: value\r\n\r\n"
	case EndlessChunkSize:
		return head(whole, chunkedFraming), "0"
	case EndlessChunks:
		return head(whole, chunkedFraming), "1\r\nx\r\n"
	case EndlessTrailers:
		return head(whole, chunkedFraming) + "0\r\n", "Field: value\r\n"
	case EndlessEvent:
		return head(whole, unframedFraming+eventFraming) + "data: ", "x"
	case EndlessEvents:
		return head(whole, unframedFraming+eventFraming), "data: x\n\n"
	case EndlessEventChunkSize:
		event := StreamEvent(request.ID, 1)
		return head(whole, chunkedFraming+eventFraming) + chunk(event), "0"
	case EndlessRefusal:
		return head(WorkerResponse{Status: 503, NotRun: true}, unframedFraming), "x"
	case EndlessFailure:
		return head(WorkerResponse{Status: 500}, unframedFraming), "x"
	case EndlessBody:
	}
	return head(whole, unframedFraming), "x"
}

// writeEndless sends an endless response until the router closes the connection or
// maxEndlessBytes are sent.
func (w *Worker) writeEndless(conn net.Conn, request ReceivedRequest, response WorkerResponse) {
	begin, repeat := w.endlessText(request, response.Endless.Part)
	_, err := conn.Write([]byte(begin))
	block := []byte(repeat)
	if response.Endless.Pause == 0 {
		block = bytes.Repeat([]byte(repeat), endlessBlockBytes/len(repeat))
	}
	for sent := 0; err == nil && sent < maxEndlessBytes; {
		var n int
		if response.Endless.Pause == 0 {
			n, err = conn.Write(block)
		} else {
			time.Sleep(response.Endless.Pause)
			n, err = conn.Write(block[sent%len(block):][:1])
		}
		sent += n
		w.endlessBytes.Add(int64(n))
	}
}

// EndlessBytes returns the number of bytes that endless responses have sent.
func (w *Worker) EndlessBytes() int64 { return w.endlessBytes.Load() }

// chunk returns text as a chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
