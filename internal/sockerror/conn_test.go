// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package sockerror_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"granitehoist.example/granitehoist/internal/sockerror"
)

// openPair returns both ends of a connection, the first as a Conn.
func openPair(t testing.TB) (*sockerror.Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	near, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return sockerror.NewConn(near), far.(*net.TCPConn)
}

// reset resets a connection.
func reset(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }

// writeUntilError writes until a Write fails and returns its error.
func writeUntilError(c net.Conn) error {
	block := make([]byte, 64<<10)
	for {
		if _, err := c.Write(block); err != nil {
			return err
		}
	}
}

// TestReadAfterFailedWrite guards against a reset that looks like the end of the peer's data
// because a writer got its error.
func TestReadAfterFailedWrite(t *testing.T) {
	c, far := openPair(t)
	if _, err := io.WriteString(far, "part"); err != nil {
		t.Fatal(err)
	}
	if err := reset(far); err != nil {
		t.Fatal(err)
	}
	if err := writeUntilError(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the write returned %v", err)
	}
	got, err := io.ReadAll(c)
	if string(got) != "part" || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %q, %v", got, err)
	}
}

// TestReadBesideWrite guards against the same while the writer waits for the peer.
func TestReadBesideWrite(t *testing.T) {
	for attempt := range 50 {
		c, far := openPair(t)
		written := make(chan error, 1)
		go func() { written <- writeUntilError(c) }()
		if _, err := io.WriteString(far, "part"); err != nil {
			t.Fatal(err)
		}
		go func() {
			if err := reset(far); err != nil {
				t.Error(err)
			}
		}()
		if got, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("attempt %d: read %q, %v", attempt, got, err)
		}
		if err := <-written; err == nil {
			t.Errorf("attempt %d: the write succeeded", attempt)
		}
	}
}

// TestReadAfterClose guards against an orderly end that is taken for a failure, whatever
// happens to the writer.
func TestReadAfterClose(t *testing.T) {
	for name, end := range map[string]func(*testing.T, *net.TCPConn){
		"and nothing more": func(*testing.T, *net.TCPConn) {},
		"and a reset": func(t *testing.T, c *net.TCPConn) {
			if err := reset(c); err != nil {
				t.Error(err)
			}
		},
		"and a peer that reads on": func(_ *testing.T, c *net.TCPConn) { go func() { _, _ = io.Copy(io.Discard, c) }() },
	} {
		t.Run(name, func(t *testing.T) {
			for attempt := range 50 {
				c, far := openPair(t)
				written := make(chan error, 1)
				go func() { written <- writeUntilError(c) }()
				if _, err := io.WriteString(far, "whole"); err != nil {
					t.Fatal(err)
				}
				if err := far.CloseWrite(); err != nil {
					t.Fatal(err)
				}
				end(t, far)
				if got, err := io.ReadAll(c); string(got) != "whole" || err != nil {
					t.Errorf("attempt %d: read %q, %v", attempt, got, err)
				}
				select {
				case <-written:
				case <-time.After(time.Second):
					t.Fatalf("attempt %d: the write waits", attempt)
				}
			}
		})
	}
}

// lateWriter is a connection whose Read returns io.EOF at once, and whose Write returns err
// some time later.
type lateWriter struct {
	net.Conn
	writing chan struct{}
	err     error
}

func (l *lateWriter) Read([]byte) (int, error) { return 0, io.EOF }

func (l *lateWriter) Write([]byte) (int, error) {
	close(l.writing)
	time.Sleep(20 * time.Millisecond)
	return 0, l.err
}

func (l *lateWriter) SetWriteDeadline(time.Time) error { return nil }

// TestErrorOfUnfinishedWrite guards against a reader that does not wait for the result of the
// writer, and against an error of this side that is taken for a failure of the connection.
func TestErrorOfUnfinishedWrite(t *testing.T) {
	for name, c := range map[string]struct{ write, read error }{
		"reset":                          {syscall.ECONNRESET, syscall.ECONNRESET},
		"no acknowledgement":             {syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		"no route":                       {syscall.EHOSTUNREACH, syscall.EHOSTUNREACH},
		"closed by the peer":             {syscall.EPIPE, io.EOF},
		"deadline":                       {os.ErrDeadlineExceeded, io.EOF},
		"closed by this side":            {net.ErrClosed, io.EOF},
		"none, everything was written":   {nil, io.EOF},
		"reset, wrapped by package net":  {&net.OpError{Op: "write", Err: syscall.ECONNRESET}, syscall.ECONNRESET},
		"closed, wrapped by package net": {&net.OpError{Op: "write", Err: syscall.EPIPE}, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			inner := &lateWriter{writing: make(chan struct{}), err: c.write}
			conn := sockerror.NewConn(inner)
			go func() { _, _ = conn.Write(nil) }()
			<-inner.writing
			if _, err := conn.Read(nil); !errors.Is(err, c.read) {
				t.Errorf("read returned %v, want %v", err, c.read)
			}
		})
	}
}
