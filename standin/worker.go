// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Worker is a stand-in of one of the users' workers. It serves HTTP/1.1 over
// real sockets and shows, request by request, the failures that WorkerAnswer names.
type Worker struct {
	instance string
	answer   func(Arrival) WorkerAnswer
	listener net.Listener

	// mu guards the fields below it.
	mu       sync.Mutex
	arrivals []Arrival
	conns    map[net.Conn]struct{}
	opened   int
	done     sync.WaitGroup
}

// Arrival is a request as it reached a Worker.
type Arrival struct {
	// Number counts the arrivals at this worker from 1; Conn numbers its
	// connection.
	Number, Conn int
	ID           string
	Method       string
	Target       string
	Host         string
	Header       http.Header
	Body         []byte
	// After is the event after which the stream is to go on.
	After int
}

// WorkerAnswer tells a Worker what to do with a request. The zero value is answered
// 200 with an empty body.
type WorkerAnswer struct {
	// Status of the answer; zero stands for 200.
	Status int
	Header http.Header
	Body   string
	// Events makes the answer a stream of that many events.
	Events int
	// Gap is the pause before each event, Delay that before the head.
	Gap, Delay time.Duration
	// CutAfter resets the connection after that many bytes or events, if Cut
	// is set; within the next event if Within is set too.
	Cut      bool
	CutAfter int
	Within   bool
	// CloseClean ends a cut answer with a FIN in place of a reset.
	CloseClean bool
	// Silent never answers.
	Silent bool
	// Before is sent before the answer, After behind it.
	Before, After string
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
}

// NewWorker starts a worker on loopback. answer is asked about each request.
func NewWorker(instance string, answer func(Arrival) WorkerAnswer) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{instance: instance, answer: answer, listener: listener, conns: map[net.Conn]struct{}{}}
	w.done.Go(w.accept)
	return w, nil
}

// Address returns the worker's IP and port.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Instance returns the worker's id.
func (w *Worker) Instance() string { return w.instance }

// Arrivals returns the requests that have reached the worker.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

// Open returns the number of connections that are open.
func (w *Worker) Open() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns)
}

// Close ends the worker and its connections.
func (w *Worker) Close() {
	// accept ends with the listener; one that was closed before is no failure.
	_ = w.listener.Close()
	w.mu.Lock()
	for c := range w.conns {
		// Its goroutine may have closed it already.
		_ = c.Close()
	}
	w.mu.Unlock()
	w.done.Wait()
}

// accept serves each connection on a goroutine of its own, until Close.
func (w *Worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = struct{}{}
		w.opened++
		number := w.opened
		w.mu.Unlock()
		w.done.Go(func() { w.serve(conn, number) })
	}
}

// serve answers the requests of a connection one after the other.
func (w *Worker) serve(conn net.Conn, number int) {
	defer func() {
		// The connection is thrown away; Close may have closed it already.
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		arrival := w.arrivalOf(request, number)
		answer := w.answer(arrival)
		if !answer.Early {
			if arrival.Body, err = io.ReadAll(request.Body); err != nil {
				return
			}
		}
		w.mu.Lock()
		w.arrivals = append(w.arrivals, arrival)
		w.mu.Unlock()
		if !w.write(conn, arrival, answer) {
			return
		}
		if answer.Early {
			// A body that breaks off shows at the next request of the connection.
			_, _ = io.Copy(io.Discard, request.Body)
		}
	}
}

// arrivalOf returns a request as it arrived, without its body.
func (w *Worker) arrivalOf(r *http.Request, conn int) Arrival {
	// A request without the header, or with one that is no number, is not
	// resumed: its stream begins at the first event.
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.mu.Lock()
	number := len(w.arrivals) + 1
	w.mu.Unlock()
	return Arrival{
		Number: number, Conn: conn, ID: r.Header.Get("Attempt-Id"), Method: r.Method, Target: r.RequestURI,
		Host: r.Host, Header: r.Header, After: after,
	}
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
	if _, err := io.WriteString(conn, a.Before); err != nil {
		return false
	}
	if a.Events > 0 {
		return w.writeStream(conn, arrival, a)
	}
	body := a.Body
	if a.Cut {
		body = body[:min(a.CutAfter, len(body))]
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
	if a.Cut && !a.CloseClean {
		reset(conn)
	}
	if a.Cut || a.Unframed {
		return false
	}
	if a.After == "" {
		return true
	}
	_, err := io.WriteString(conn, a.After)
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
	if a.NotRun {
		head.WriteString("Not-Executed: 1\r\n")
	}
	// A bytes.Buffer takes every write.
	_ = a.Header.Write(&head)
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
		event := StreamEvent(arrival.ID, n)
		if a.Cut && n > a.CutAfter {
			if a.Within {
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
