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

// WorkerAnswer tells a Worker what to do with a request. The zero value is answered
// 200 with an empty body.
type WorkerAnswer struct {
	// Status of the answer; zero stands for 200.
	Status int
	Body   string
	// Events makes the answer a stream of that many events.
	Events int
	// Gap is the pause before each event, Delay that before the head.
	Gap, Delay time.Duration
	// Cut breaks the answer off.
	Cut Cut
	// Silent never answers.
	Silent bool
	// SurplusBefore is sent before the answer, SurplusAfter behind it: bytes
	// that belong to no answer.
	SurplusBefore, SurplusAfter string
	// Unframed gives no length, and ends the connection with the answer.
	Unframed bool
	// Early answers before the body has been read.
	Early bool
	// NotRun says that the request was not run.
	NotRun bool
	// Crossed gives the id of another request.
	Crossed bool
	// NoSeal leaves the worker's signature out.
	NoSeal bool
	// RateLimit holds the values of the header that names how many requests a second the
	// worker takes from all routers together; nil names none.
	RateLimit []string
	// Leaving and RetryAfter hold the values of the headers by which the worker says that
	// it is about to end, and how many seconds it wants nothing; nil says neither.
	Leaving, RetryAfter []string
}

// Cut says whether and where an answer breaks off. The zero value leaves the
// answer complete.
type Cut struct {
	// Set breaks the answer off.
	Set bool
	// After is the bytes of a body, or the number of the last event of a stream,
	// that are sent before.
	After int
	// Within sends half of the next event too.
	Within bool
	// Clean ends the connection with a FIN in place of a reset.
	Clean bool
	// Crash ends the whole worker, after the event After of a stream and before any
	// answer that is no stream: its address refuses connections then.
	Crash bool
}

// write gives an answer and reports whether the connection goes on.
func (w *Worker) write(conn net.Conn, arrival Arrival, a WorkerAnswer) bool {
	time.Sleep(a.Delay)
	if a.Silent {
		// The worker waits for the router to end the connection, by close or
		// by reset.
		_, _ = io.Copy(io.Discard, conn)
		return false
	}
	if expected := arrival.Header.Get("Expect-Instance"); expected != "" && expected != w.instance {
		a = WorkerAnswer{Status: http.StatusMisdirectedRequest, NoSeal: true}
	}
	if _, err := io.WriteString(conn, a.SurplusBefore); err != nil {
		return false
	}
	if a.Events > 0 {
		return w.writeStream(conn, arrival, a)
	}
	if a.Cut.Crash {
		w.Crash()
		return false
	}
	body := a.Body
	if a.Cut.Set {
		body = body[:min(a.Cut.After, len(body))]
	}
	framing := "Content-Length: " + strconv.Itoa(len(a.Body)) + "\r\n"
	if a.Unframed {
		framing = "Connection: close\r\n"
	}
	if _, err := io.WriteString(conn, w.head(arrival, a, framing)+body); err != nil {
		return false
	}
	return w.end(conn, a)
}

// end finishes an answer and reports whether the connection goes on.
func (w *Worker) end(conn net.Conn, a WorkerAnswer) bool {
	if a.Cut.Set && !a.Cut.Clean {
		reset(conn)
	}
	if a.Cut.Set || a.Unframed {
		return false
	}
	if a.SurplusAfter == "" {
		return true
	}
	_, err := io.WriteString(conn, a.SurplusAfter)
	return err == nil
}

// reset makes the closing of a connection a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// If this fails the connection ends with a FIN, and the test that asked
		// for a reset sees that.
		_ = tcp.SetLinger(0)
	}
}

// head returns the status line and header of an answer.
func (w *Worker) head(arrival Arrival, a WorkerAnswer, framing string) string {
	status := a.Status
	if status == 0 {
		status = http.StatusOK
	}
	id := arrival.ID
	if a.Crossed {
		id = "another-" + id
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\n%s", status, http.StatusText(status), id, framing)
	if !a.NoSeal && !a.NotRun {
		fmt.Fprintf(&head, "Response-Seal: %s.%s\r\n", w.instance, id)
	}
	for _, limit := range a.RateLimit {
		fmt.Fprintf(&head, "Server-Limit: %s\r\n", limit)
	}
	for _, value := range a.Leaving {
		fmt.Fprintf(&head, "Server-Leaving: %s\r\n", value)
	}
	for _, value := range a.RetryAfter {
		fmt.Fprintf(&head, "Retry-After: %s\r\n", value)
	}
	if a.NotRun {
		head.WriteString("Not-Executed: 1\r\n")
	}
	head.WriteString("\r\n")
	return head.String()
}

// StreamEvent returns the n-th event of a request's stream.
func StreamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// writeStream gives the events of a stream and reports whether the connection
// goes on.
func (w *Worker) writeStream(conn net.Conn, arrival Arrival, a WorkerAnswer) bool {
	framing := "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n"
	if a.Unframed {
		framing = "Connection: close\r\nContent-Type: text/event-stream\r\n"
	}
	if _, err := io.WriteString(conn, w.head(arrival, a, framing)); err != nil {
		return false
	}
	for n := arrival.After + 1; n <= a.Events; n++ {
		time.Sleep(a.Gap)
		if a.Cut.Crash && n > a.Cut.After {
			w.Crash()
			return false
		}
		event := StreamEvent(arrival.ID, n)
		if a.Cut.Set && n > a.Cut.After {
			if a.Cut.Within {
				// The connection is cut next, whether this reached the router or
				// not.
				_ = w.piece(conn, a, event[:len(event)/2])
			}
			return w.end(conn, a)
		}
		if err := w.piece(conn, a, event); err != nil {
			return false
		}
	}
	if a.Unframed {
		return false
	}
	if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
		return false
	}
	return w.end(conn, a)
}

// piece sends text as one chunk, or as it is if the answer is unframed.
func (w *Worker) piece(conn net.Conn, a WorkerAnswer, text string) error {
	if !a.Unframed {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	_, err := io.Copy(conn, strings.NewReader(text))
	return err
}
