// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// WorkerResponse describes a Worker's response to a request. The zero value is status 200
// with an empty body.
type WorkerResponse struct {
	// Status is the HTTP status; zero means 200.
	Status int
	Body   string
	// ContentType is the Content-Type of a body; empty omits it. Streams are
	// text/event-stream.
	ContentType string
	// Events, unless zero, makes the response a stream of that many events.
	Events int
	// Label is added to the data of each event, after a space.
	Label string
	// Gap is the delay before each event, Delay the delay before the head.
	Gap, Delay time.Duration
	// IDOffset is added to the id of each event of a stream, whose ids begin at 1 otherwise.
	IDOffset int
	// SkipEvents is the number of events that a stream lacks where it begins.
	SkipEvents int
	// Cut truncates the response.
	Cut Cut
	// Hang sends nothing and waits for the router to close the connection.
	Hang bool
	// Endless, if it names a part, replaces the response by one without an end.
	Endless Endless
	// ExtraBefore and ExtraAfter are bytes sent before and after the response, which
	// are not part of the response.
	ExtraBefore, ExtraAfter string
	// Unframed omits the length; closing the connection ends the response.
	Unframed bool
	// Early responds before the request body has been read, and reads the rest of it after
	// EarlyPause.
	Early      bool
	EarlyPause time.Duration
	// DiscardBody discards the body of the request, which Worker.Requests then lacks.
	DiscardBody bool
	// NotRun marks the response as a response to a request that did not run.
	NotRun bool
	// WrongID sends the id of another request.
	WrongID bool
	// NoSeal omits the Response-Seal header.
	NoSeal bool
	// RateLimit holds the values of the Server-Limit header, the worker's rate limit over
	// all routers in requests per second; nil omits it.
	RateLimit []string
	// Leaving and RetryAfter hold the values of the headers Server-Leaving and Retry-After;
	// nil omits the header.
	Leaving, RetryAfter []string
	// RejectionLimit is the value of the header Server-Brittle, the number of requests a
	// second that the worker can reject; zero omits it.
	RejectionLimit int
}

// Cut says whether and where a response is truncated. The zero value leaves it complete.
type Cut struct {
	// Set truncates the response and closes the connection.
	Set bool
	// After is the number of bytes of a body, or of events of a stream, that are sent.
	After int
	// MidEvent also sends half of the next event.
	MidEvent bool
	// FIN closes the connection with a FIN instead of a reset.
	FIN bool
	// Crash stops the whole worker, so that its address refuses connections: after
	// event After of a stream, or before a response that is no stream.
	Crash bool
}

// writeResponse writes a response and reports whether the connection stays open.
func (w *Worker) writeResponse(conn net.Conn, request ReceivedRequest, response WorkerResponse) bool {
	time.Sleep(response.Delay)
	if response.Hang {
		// Wait until the router closes or resets the connection.
		_, _ = io.Copy(io.Discard, conn)
		return false
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != w.instance {
		response = WorkerResponse{Status: http.StatusMisdirectedRequest, NoSeal: true}
	}
	if response.Endless.Part != "" {
		w.writeEndless(conn, request, response)
		return false
	}
	if _, err := io.WriteString(conn, response.ExtraBefore); err != nil {
		return false
	}
	if response.Events > 0 {
		return w.writeStream(conn, request, response)
	}
	if response.Cut.Crash {
		w.Crash()
		return false
	}
	body := response.Body
	if response.Cut.Set {
		body = body[:min(response.Cut.After, len(body))]
	}
	framing := "Content-Length: " + strconv.Itoa(len(response.Body)) + "\r\n"
	if response.Unframed {
		framing = "Connection: close\r\n"
	}
	if _, err := io.WriteString(conn, w.head(request, response, framing)+body); err != nil {
		return false
	}
	return w.finishResponse(conn, response)
}

// finishResponse completes a response and reports whether the connection stays open.
func (w *Worker) finishResponse(conn net.Conn, response WorkerResponse) bool {
	if response.Cut.Set && !response.Cut.FIN {
		reset(conn)
	}
	if response.Cut.Set || response.Unframed {
		return false
	}
	if response.ExtraAfter == "" {
		return true
	}
	_, err := io.WriteString(conn, response.ExtraAfter)
	return err == nil
}

// reset makes Close reset the connection instead of sending a FIN.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// On an error the connection closes with a FIN.
		_ = tcp.SetLinger(0)
	}
}

// head returns the status line and header of a response.
func (w *Worker) head(request ReceivedRequest, response WorkerResponse, framing string) string {
	status := response.Status
	if status == 0 {
		status = http.StatusOK
	}
	id := request.ID
	if response.WrongID {
		id = "another-" + id
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\n%s", status, http.StatusText(status), id, framing)
	if !response.NoSeal && !response.NotRun {
		fmt.Fprintf(&head, "Response-Seal: %s.%s\r\n", w.instance, id)
	}
	if response.ContentType != "" {
		fmt.Fprintf(&head, "Content-Type: %s\r\n", response.ContentType)
	}
	for _, limit := range response.RateLimit {
		fmt.Fprintf(&head, "Server-Limit: %s\r\n", limit)
	}
	for _, value := range response.Leaving {
		fmt.Fprintf(&head, "Server-Leaving: %s\r\n", value)
	}
	for _, value := range response.RetryAfter {
		fmt.Fprintf(&head, "Retry-After: %s\r\n", value)
	}
	if response.RejectionLimit > 0 {
		fmt.Fprintf(&head, "Server-Brittle: %d\r\n", response.RejectionLimit)
	}
	if response.NotRun {
		head.WriteString("Not-Executed: 1\r\n")
	}
	head.WriteString("\r\n")
	return head.String()
}

// StreamEvent returns the n-th event, from 1, of the stream of the request with this id.
func StreamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// writeStream writes the events of a stream and reports whether the connection stays open.
func (w *Worker) writeStream(conn net.Conn, request ReceivedRequest, response WorkerResponse) bool {
	framing := "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n"
	if response.Unframed {
		framing = "Connection: close\r\nContent-Type: text/event-stream\r\n"
	}
	if _, err := io.WriteString(conn, w.head(request, response, framing)); err != nil {
		return false
	}
	first := 1
	if request.Header.Get("Last-Event-Id") != "" {
		first = request.After - response.IDOffset + 1
	}
	for n := first + response.SkipEvents; n <= response.Events; n++ {
		time.Sleep(response.Gap)
		if response.Cut.Crash && n > response.Cut.After {
			w.Crash()
			return false
		}
		event := strings.Replace(StreamEvent(request.ID, n), fmt.Sprint("id: ", n), fmt.Sprint("id: ", n+response.IDOffset), 1)
		if response.Label != "" {
			event = strings.TrimSuffix(event, "\n\n") + " " + response.Label + "\n\n"
		}
		if response.Cut.Set && n > response.Cut.After {
			if response.Cut.MidEvent {
				// The connection closes next, so an error is ignored.
				_ = w.writeChunk(conn, response, event[:len(event)/2])
			}
			return w.finishResponse(conn, response)
		}
		if err := w.writeChunk(conn, response, event); err != nil {
			return false
		}
	}
	if response.Unframed {
		return false
	}
	if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
		return false
	}
	return w.finishResponse(conn, response)
}

// writeChunk sends text as one chunk, or unchanged if the response is unframed.
func (w *Worker) writeChunk(conn net.Conn, response WorkerResponse, text string) error {
	if !response.Unframed {
		text = chunk(text)
	}
	_, err := io.Copy(conn, strings.NewReader(text))
	return err
}
