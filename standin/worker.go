// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
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
	Target       string
	Host         string
	Header       http.Header
	Body         []byte
	// After is the event after which the stream is to go on.
	After int
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

// Crash ends the worker as Close does, but does not wait for its connections. Each is
// reset.
func (w *Worker) Crash() {
	// accept ends with the listener; one that was closed before is no failure.
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		reset(c)
		// Its goroutine may have closed it already.
		_ = c.Close()
	}
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
		Number: number, Conn: conn, ID: r.Header.Get("Attempt-Id"), Target: r.RequestURI,
		Host: r.Host, Header: r.Header, After: after,
	}
}
