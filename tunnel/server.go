// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package tunnel

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/sockerror"
)

// ServerSettings configure a Server. Open is required.
type ServerSettings struct {
	// Open connects to an upstream. Its error is one of this package's; any other counts
	// as ErrTimedOut.
	Open func(ctx context.Context, upstream granitehoist.Upstream) (net.Conn, error)
	// Clock returns the current time; nil means time.Now.
	Clock granitehoist.Clock
	// OnEnd, if set, is called when a tunnel ends, with the bytes that it carried in both
	// directions.
	OnEnd func(bytes int64)
}

const (
	// maxTunnels is the maximum number of open tunnels. Each takes two descriptors and
	// about 40 KB.
	maxTunnels = 1000
	// maxIdle is the time without bytes in either direction after which a tunnel is closed.
	// Callers wait for no response that long.
	maxIdle = time.Minute
	// writeTimeout is the maximum time that a router may take to accept a part of a
	// response.
	writeTimeout = 5 * time.Second
	// restTime is the time after the last byte of the upstream from which a tunnel counts
	// as unused. The pauses within a response are shorter.
	restTime = time.Second
	// lingerTime is how long the caller's connection stays open after the last frame, unless
	// the caller closes it.
	lingerTime = time.Second
)

// Server opens tunnels to upstreams for other routers. It implements http.Handler. Create
// one with NewServer. It is safe for concurrent use.
type Server struct {
	settings ServerSettings

	// mu guards the fields below it.
	mu       sync.Mutex
	draining bool
	// opening is the number of tunnels that are being opened, open holds the others.
	opening int
	open    map[*serverTunnel]struct{}
}

// NewServer returns a Server without tunnels. It panics if a required setting is missing.
func NewServer(s ServerSettings) *Server {
	if s.Open == nil {
		panic("tunnel: Open is required")
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	if s.OnEnd == nil {
		s.OnEnd = func(int64) {}
	}
	return &Server{settings: s, open: map[*serverTunnel]struct{}{}}
}

// ServeHTTP implements http.Handler. It serves CONNECT requests and refuses all others. It
// returns when the tunnel has ended.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if !s.admit() {
		w.WriteHeader(statuses[ErrUnavailable])
		return
	}
	upstream, err := s.settings.Open(r.Context(), granitehoist.Upstream(r.Header.Get(headerUpstream)))
	if err != nil {
		s.release()
		w.WriteHeader(statusOf(err))
		return
	}
	caller, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.release()
		// The connection carried nothing.
		_ = upstream.Close()
		// Only a server that does not speak HTTP/1.1 fails here.
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	t := &serverTunnel{caller: caller, reader: buffered.Reader, upstream: sockerror.NewConn(upstream), clock: s.settings.Clock, movedAt: s.settings.Clock()}
	s.add(t)
	t.run()
	s.remove(t)
	s.settings.OnEnd(t.total())
}

// statusOf returns the HTTP status for an error of ServerSettings.Open.
func statusOf(err error) int {
	for known, status := range statuses {
		if errors.Is(err, known) {
			return status
		}
	}
	return statuses[ErrTimedOut]
}

// admit counts a tunnel as being opened, unless there are too many or the server drains.
func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.opening+len(s.open) >= maxTunnels {
		return false
	}
	s.opening++
	return true
}

// release ends the count of a tunnel that could not be opened.
func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening--
}

func (s *Server) add(t *serverTunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening--
	s.open[t] = struct{}{}
}

func (s *Server) remove(t *serverTunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, t)
}

// Open returns the number of open tunnels.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Drain refuses new tunnels permanently.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// CloseUnused closes the tunnels that carry no request, and returns the number of the
// others. The client may still send a request on a tunnel that is closed at the same time,
// as with any idle connection.
func (s *Server) CloseUnused(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := 0
	for t := range s.open {
		if t.isUsed(now) {
			used++
			continue
		}
		t.close()
	}
	return used
}

// Close refuses new tunnels and closes all open ones.
func (s *Server) Close() {
	s.Drain()
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.open {
		t.close()
	}
}

// serverTunnel is a tunnel at the server.
type serverTunnel struct {
	caller net.Conn
	// reader holds bytes that were received together with the request for the tunnel.
	reader   *bufio.Reader
	upstream net.Conn
	clock    granitehoist.Clock

	// mu guards the fields below it.
	mu sync.Mutex
	// movedAt is when bytes were last copied, and responding whether these came from the
	// upstream.
	movedAt    time.Time
	responding bool
	bytes      int64
}

// run copies in both directions until either side ends, and closes both.
func (t *serverTunnel) run() {
	watchdog := time.AfterFunc(maxIdle, t.close)
	defer watchdog.Stop()
	var copies sync.WaitGroup
	copies.Go(func() {
		t.copyRequests(watchdog)
		t.close()
	})
	if t.copyResponses(watchdog) {
		// If bytes of the caller were unread, closing would reset its connection, and the
		// last frames could be lost. An error means that the connection is closed already.
		_ = t.caller.SetReadDeadline(time.Now().Add(lingerTime))
		copies.Wait()
	}
	t.close()
	copies.Wait()
}

// copyRequests copies from the caller to the upstream until the caller closes its connection,
// since it waits for no response then. If the upstream's connection fails, the caller may not
// have all of the response yet: copyRequests discards what follows, and copyResponses reports
// the end.
func (t *serverTunnel) copyRequests(watchdog *time.Timer) {
	buffer, failed := make([]byte, maxFrameBytes), false
	for {
		n, err := t.reader.Read(buffer)
		if n > 0 && !failed {
			t.moved(n, false, watchdog)
			_, writeErr := t.upstream.Write(buffer[:n])
			failed = writeErr != nil
		}
		if err != nil {
			return
		}
	}
}

// copyResponses tells the caller that the tunnel is open and copies from the upstream to
// the caller. It reports whether it sent the last frame.
func (t *serverTunnel) copyResponses(watchdog *time.Timer) bool {
	if !t.send([]byte("HTTP/1.1 200 OK\r\n\r\n")) {
		return false
	}
	buffer := make([]byte, lengthBytes+maxFrameBytes)
	for {
		n, err := t.upstream.Read(buffer[lengthBytes:])
		if n > 0 {
			t.moved(n, true, watchdog)
			putLength(buffer, uint32(n))
			if !t.send(buffer[:lengthBytes+n]) {
				return false
			}
		}
		if err != nil {
			return t.send(endFrame(err))
		}
	}
}

// send writes to the caller within writeTimeout and reports success.
func (t *serverTunnel) send(data []byte) bool {
	if err := t.caller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	_, err := t.caller.Write(data)
	return err == nil
}

// moved records that bytes were copied, from the upstream if responding is set.
func (t *serverTunnel) moved(n int, responding bool, watchdog *time.Timer) {
	watchdog.Reset(maxIdle)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.movedAt, t.responding = t.clock(), responding
	t.bytes += int64(n)
}

// isUsed reports whether the tunnel probably carries a request: the caller sent the last
// bytes, or the upstream sent some a short while ago.
func (t *serverTunnel) isUsed(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bytes > 0 && !t.responding {
		return true
	}
	return now.Sub(t.movedAt) < restTime
}

func (t *serverTunnel) total() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bytes
}

// close closes both connections.
func (t *serverTunnel) close() {
	// Either may be closed already.
	_ = t.caller.Close()
	_ = t.upstream.Close()
}
