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
	"sync/atomic"
	"time"
)

// Worker is a fake of a worker of the platform. It serves HTTP/1.1 over TCP and injects the
// faults of a WorkerResponse into each response. It is safe for concurrent use.
type Worker struct {
	instance string
	respond  func(ReceivedRequest) WorkerResponse
	listener net.Listener

	// mu guards the fields below it.
	mu       sync.Mutex
	requests []ReceivedRequest
	conns    map[net.Conn]struct{}
	opened   int
	done     sync.WaitGroup
	// endlessBytes counts the bytes of endless responses.
	endlessBytes atomic.Int64
}

// ReceivedRequest is a request as received by a Worker.
type ReceivedRequest struct {
	// Number is the number of the request at this worker, and Conn the number of its
	// connection, both from 1.
	Number, Conn int
	ID           string
	Target       string
	Host         string
	Header       http.Header
	Body         []byte
	// After is the number of the last event that the caller has received; the stream
	// resumes after it.
	After int
}

// NewWorker starts a worker on a loopback port. It calls respond for each request, from
// several goroutines at once. It returns an error if it can't listen.
func NewWorker(instance string, respond func(ReceivedRequest) WorkerResponse) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{instance: instance, respond: respond, listener: listener, conns: map[net.Conn]struct{}{}}
	w.done.Go(w.accept)
	return w, nil
}

// Address returns the worker's address as IP:PORT.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Instance returns the worker's instance id.
func (w *Worker) Instance() string { return w.instance }

// Requests returns the requests that the worker has received.
func (w *Worker) Requests() []ReceivedRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]ReceivedRequest(nil), w.requests...)
}

// OpenConns returns the number of open connections.
func (w *Worker) OpenConns() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns)
}

// Close stops the worker, closes its connections and waits for their goroutines.
func (w *Worker) Close() {
	// Closing the listener stops accept. It may have been closed before.
	_ = w.listener.Close()
	w.mu.Lock()
	for c := range w.conns {
		// Its goroutine may have closed it already.
		_ = c.Close()
	}
	w.mu.Unlock()
	w.done.Wait()
}

// Crash stops the worker and resets its connections. It does not wait for their goroutines.
func (w *Worker) Crash() {
	// Closing the listener stops accept. It may have been closed before.
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		reset(c)
		// Its goroutine may have closed it already.
		_ = c.Close()
	}
}

// accept serves each connection on its own goroutine until the listener is closed.
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

// serve responds to the requests of a connection in sequence.
func (w *Worker) serve(conn net.Conn, number int) {
	defer func() {
		// Close may have closed it already.
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
		received := w.newReceivedRequest(request, number)
		response := w.respond(received)
		switch {
		case response.Early:
		case response.DiscardBody:
			_, err = io.Copy(io.Discard, request.Body)
		default:
			received.Body, err = io.ReadAll(request.Body)
		}
		if err != nil {
			return
		}
		w.mu.Lock()
		w.requests = append(w.requests, received)
		w.mu.Unlock()
		if !w.writeResponse(conn, received, response) {
			return
		}
		if response.Early {
			time.Sleep(response.EarlyPause)
			// A truncated body makes the next ReadRequest fail.
			_, _ = io.Copy(io.Discard, request.Body)
		}
	}
}

// newReceivedRequest returns the ReceivedRequest of r, without its body.
func (w *Worker) newReceivedRequest(r *http.Request, conn int) ReceivedRequest {
	// Without a valid number the stream begins at the first event.
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.mu.Lock()
	number := len(w.requests) + 1
	w.mu.Unlock()
	return ReceivedRequest{
		Number: number, Conn: conn, ID: r.Header.Get("Attempt-Id"), Target: r.RequestURI,
		Host: r.Host, Header: r.Header, After: after,
	}
}
