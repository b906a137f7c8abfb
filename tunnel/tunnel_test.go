// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package tunnel_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/readlimit"
	"granitehoist.example/granitehoist/standin"
	"granitehoist.example/granitehoist/tunnel"
)

const testTimeout = 5 * time.Second

// router is a server with one upstream, which calls serve for each connection.
type router struct {
	*tunnel.Server
	address  string
	http     *httptest.Server
	upstream net.Listener
	// openErr, if not nil, is the error of opening a connection.
	openErr error
}

// startRouter starts a router whose tunnels end with the test.
func startRouter(t testing.TB, serve func(net.Conn)) *router {
	t.Helper()
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := upstream.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	r := &router{upstream: upstream}
	r.Server = tunnel.NewServer(tunnel.ServerSettings{Open: r.open})
	r.http = httptest.NewServer(r.Server)
	r.address = r.http.Listener.Addr().String()
	t.Cleanup(func() {
		r.Server.Close()
		r.http.Close()
		_ = upstream.Close()
	})
	return r
}

func (r *router) open(ctx context.Context, upstream granitehoist.Upstream) (net.Conn, error) {
	switch {
	case r.openErr != nil:
		return nil, r.openErr
	case upstream != "i-1/a b":
		return nil, tunnel.ErrUnknownUpstream
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", r.upstream.Addr().String())
}

// dial opens a tunnel to the upstream.
func (r *router) dial(t testing.TB) net.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := (&tunnel.Client{}).Dial(ctx, r.address, "i-1/a b")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return c
}

// echo returns what it reads and then closes the connection.
func echo(c net.Conn) {
	_, _ = io.Copy(c, c)
	_ = c.Close()
}

// TestBytesPass guards against bytes that are lost, added or reordered in a tunnel.
func TestBytesPass(t *testing.T) {
	r := startRouter(t, echo)
	rapid.Check(t, func(rt *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 40_000), 1, 8).Draw(rt, "parts")
		c := r.dial(t)
		for _, part := range parts {
			go func() { _, _ = c.Write(part) }()
			got := make([]byte, len(part))
			if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, part) {
				rt.Fatalf("%d bytes differ: %v", len(part), err)
			}
		}
		_ = c.Close()
	})
}

// TestEndOfConnection guards against a broken tunnel or a reset connection that look like
// the regular end of an upstream's response.
func TestEndOfConnection(t *testing.T) {
	closes := func(c net.Conn) {
		_, _ = io.WriteString(c, "part")
		_ = c.Close()
	}
	resets := func(c net.Conn) {
		_, _ = io.WriteString(c, "part")
		time.Sleep(50 * time.Millisecond)
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	waits := func(c net.Conn) { _, _ = io.WriteString(c, "part") }
	read := func(t *testing.T, r *router, during func()) error {
		c := r.dial(t)
		if _, err := io.ReadFull(c, make([]byte, len("part"))); err != nil {
			t.Fatal(err)
		}
		during()
		_, err := c.Read(make([]byte, 1))
		if _, again := c.Read(make([]byte, 1)); !errors.Is(again, err) {
			t.Errorf("a second read returned %v after %v", again, err)
		}
		return err
	}
	t.Run("the upstream closes", func(t *testing.T) {
		if err := read(t, startRouter(t, closes), func() {}); err != io.EOF {
			t.Errorf("read returned %v, want io.EOF", err)
		}
	})
	t.Run("the upstream resets", func(t *testing.T) {
		if err := read(t, startRouter(t, resets), func() {}); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read returned %v, want ECONNRESET", err)
		}
	})
	t.Run("the other router ends", func(t *testing.T) {
		// Hijacked connections outlive the HTTP server, as they do the end of a process.
		r := startRouter(t, waits)
		err := read(t, r, r.Server.Close)
		if !errors.Is(err, tunnel.ErrBroken) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read returned %v, want ErrBroken and no end of the upstream", err)
		}
	})
}

// TestUpstreamIsReleased guards against upstreams that work on for a router that has closed
// its tunnel.
func TestUpstreamIsReleased(t *testing.T) {
	ended := make(chan struct{})
	r := startRouter(t, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		close(ended)
	})
	c := r.dial(t)
	_, _ = io.WriteString(c, "request")
	_ = c.Close()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the upstream's connection is open after a second")
	}
}

// TestDialErrors guards against a wrong cause of a tunnel that could not be opened.
func TestDialErrors(t *testing.T) {
	dial := func(r *router, upstream granitehoist.Upstream) error {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_, err := (&tunnel.Client{}).Dial(ctx, r.address, upstream)
		return err
	}
	for name, want := range map[string]error{"refused": tunnel.ErrRefused, "timed out": tunnel.ErrTimedOut, "unavailable": tunnel.ErrUnavailable} {
		t.Run(name, func(t *testing.T) {
			r := startRouter(t, echo)
			r.openErr = fmt.Errorf("open: %w", want)
			if err := dial(r, "i-1/a b"); !errors.Is(err, want) {
				t.Errorf("dial returned %v, want %v", err, want)
			}
			if errors.Is(dial(r, "i-1/a b"), syscall.ECONNREFUSED) != (want == tunnel.ErrRefused) {
				t.Errorf("%v is taken for a refusal of the upstream", want)
			}
		})
	}
	t.Run("unknown upstream", func(t *testing.T) {
		if err := dial(startRouter(t, echo), "i-2"); !errors.Is(err, tunnel.ErrUnknownUpstream) {
			t.Errorf("dial returned %v", err)
		}
	})
	t.Run("draining", func(t *testing.T) {
		r := startRouter(t, echo)
		r.Drain()
		if err := dial(r, "i-1/a b"); !errors.Is(err, tunnel.ErrUnavailable) {
			t.Errorf("dial returned %v", err)
		}
	})
	t.Run("other methods", func(t *testing.T) {
		response, err := http.Get("http://" + startRouter(t, echo).address + "/")
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusMethodNotAllowed {
			t.Errorf("status %d", response.StatusCode)
		}
	})
	t.Run("the context ends", func(t *testing.T) {
		r := startRouter(t, echo)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if _, err := (&tunnel.Client{}).Dial(ctx, r.address, "i-1/a b"); !errors.Is(err, context.Canceled) {
			t.Errorf("dial returned %v", err)
		}
	})
}

// TestCloseUnused guards against a stop that breaks off requests, or waits for tunnels that
// carry none.
func TestCloseUnused(t *testing.T) {
	r := startRouter(t, echo)
	c := r.dial(t)
	_, _ = io.WriteString(c, "request")
	if _, err := io.ReadFull(c, make([]byte, len("request"))); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	if used := r.CloseUnused(now); used != 1 {
		t.Errorf("%d tunnels are used right after a response, want 1", used)
	}
	if used := r.CloseUnused(now.Add(2 * time.Second)); used != 0 {
		t.Errorf("%d tunnels are used 2 s after a response, want 0", used)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, tunnel.ErrBroken) {
		t.Errorf("read from an unused tunnel returned %v", err)
	}
	waiting := startRouter(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	_, _ = io.WriteString(waiting.dial(t), "request")
	time.Sleep(100 * time.Millisecond)
	if used := waiting.CloseUnused(time.Now().Add(10 * time.Second)); used != 1 {
		t.Errorf("%d tunnels are used while a request waits for its response, want 1", used)
	}
}

// Example shows a connection to an upstream through another router.
func Example() {
	upstream, _ := net.Listen("tcp", "127.0.0.1:0")
	go func() {
		c, _ := upstream.Accept()
		_, _ = io.WriteString(c, "hello")
		_ = c.Close()
	}()
	server := httptest.NewServer(tunnel.NewServer(tunnel.ServerSettings{
		Open: func(context.Context, granitehoist.Upstream) (net.Conn, error) {
			return net.Dial("tcp", upstream.Addr().String())
		},
	}))
	c, _ := (&tunnel.Client{}).Dial(context.Background(), server.Listener.Addr().String(), "i-1")
	text, err := io.ReadAll(c)
	fmt.Println(string(text), err)
	// Output: hello <nil>
}

// BenchmarkTunnel measures a round trip of a small message through a tunnel.
func BenchmarkTunnel(b *testing.B) {
	c := startRouter(b, echo).dial(b)
	if err := c.SetDeadline(time.Time{}); err != nil {
		b.Fatal(err)
	}
	message := make([]byte, 200)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.Write(message)
		if _, err := io.ReadFull(c, message); err != nil {
			b.Fatal(err)
		}
	}
}

// TestEndlessHead guards against routers that run out of memory beside another router whose
// response to a CONNECT request has no end.
func TestEndlessHead(t *testing.T) {
	for _, response := range []struct{ name, begin, repeat string }{
		{"line", "", "x"},
		{"fields", "HTTP/1.1 200 OK\r\n", "Field: value\r\n"},
	} {
		t.Run(response.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			sent := make(chan int, 1)
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				total, err := c.Write([]byte(response.begin))
				block := bytes.Repeat([]byte(response.repeat), 1000)
				for err == nil {
					var n int
					n, err = c.Write(block)
					total += n
				}
				sent <- total
			}()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			var client tunnel.Client
			_, err = client.Dial(ctx, listener.Addr().String(), "i-1/a b")
			if readlimit.Of(err) == nil {
				t.Fatalf("got %v", err)
			}
			// The sockets hold some megabytes.
			if total := <-sent; total > 32<<20 {
				t.Fatalf("%d bytes were taken", total)
			}
		})
	}
}

// TestDeadline guards against tunnels that break, or lose bytes, at a deadline of the reader.
func TestDeadline(t *testing.T) {
	const parts = 5
	r := startRouter(t, func(c net.Conn) {
		for range parts {
			time.Sleep(150 * time.Millisecond)
			if _, err := c.Write([]byte("part")); err != nil {
				return
			}
		}
		_ = c.Close()
	})
	c := r.dial(t)
	defer func() { _ = c.Close() }()
	var got []byte
	buffer, deadlines := make([]byte, 3), 0
	for {
		if err := c.SetReadDeadline(time.Now().Add(40 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		n, err := c.Read(buffer)
		got = append(got, buffer[:n]...)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			deadlines++
		case errors.Is(err, io.EOF):
			if string(got) != strings.Repeat("part", parts) || deadlines == 0 {
				t.Fatalf("got %q with %d deadlines", got, deadlines)
			}
			return
		case err != nil:
			t.Fatal(err)
		}
	}
}

// TestEarlyResponse guards against a reset during an upload that looks like the end of the
// response, and against a sound response that is lost because its upstream reads no further.
func TestEarlyResponse(t *testing.T) {
	const uploadBytes, attempts = 12 << 20, 20
	for name, c := range map[string]struct {
		end  func(*net.TCPConn) error
		want error
	}{
		"a reset": {func(c *net.TCPConn) error {
			time.Sleep(10 * time.Millisecond)
			return c.SetLinger(0)
		}, syscall.ECONNRESET},
		"an orderly end": {func(c *net.TCPConn) error {
			err := c.CloseWrite()
			time.Sleep(10 * time.Millisecond)
			return err
		}, io.EOF},
		"an orderly end, then a reset": {func(c *net.TCPConn) error {
			return errors.Join(c.CloseWrite(), c.SetLinger(0))
		}, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			r := startRouter(t, func(upstream net.Conn) {
				_, _ = io.ReadFull(upstream, make([]byte, 100))
				_, _ = io.WriteString(upstream, "part")
				_ = c.end(upstream.(*net.TCPConn))
				_ = upstream.Close()
			})
			for attempt := range attempts {
				tunneled := r.dial(t)
				written := make(chan struct{})
				go func() {
					defer close(written)
					_, _ = tunneled.Write(make([]byte, uploadBytes))
				}()
				buffer := make([]byte, 100)
				n, err := io.ReadFull(tunneled, buffer[:len("part")])
				if err != nil {
					t.Errorf("attempt %d: %d bytes of the response, %v", attempt, n, err)
				} else if _, err = tunneled.Read(buffer); !errors.Is(err, c.want) {
					t.Errorf("attempt %d: the response ended with %v, want %v", attempt, err, c.want)
				}
				_ = tunneled.Close()
				<-written
			}
		})
	}
}

// TestInvalidHead guards against a tunnel through a router whose response to a CONNECT request
// is invalid.
func TestInvalidHead(t *testing.T) {
	for name, text := range map[string]string{
		"a field name": "HTTP/1.1 200 OK\r\nX Broken: 1\r\n\r\n",
		"a version":    "HTTP/2.0 200 OK\r\n\r\n",
		"a status":     "HTTP/1.1 000 x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			other, err := standin.NewRawUpstream(text, standin.CloseWriteFor(100*time.Millisecond))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = other.Close() }()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			if _, err := (&tunnel.Client{}).Dial(ctx, other.Address(), "i-1/a b"); err == nil {
				t.Error("the tunnel is used")
			}
		})
	}
}
