// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package readlimit

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"
)

// expectBound checks that an error reports a bound.
func expectBound(t *testing.T, err error, want Bound) {
	t.Helper()
	e := Of(err)
	if e == nil || e.Bound != want {
		t.Fatalf("got %v, want the bound %s", err, want)
	}
}

// TestBufferReadsAll guards against buffers that lose bytes or keep memory, whatever length
// is announced and in whatever pieces the bytes arrive.
func TestBufferReadsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := []byte(strings.Repeat("content ", rapid.IntRange(0, 3000).Draw(t, "words")))
		expected := rapid.Int64Range(-1, 40_000).Draw(t, "expected")
		memory := NewMemory(1 << 20)
		buffer := Buffer{Part: Body, MaxBytes: 1 << 16, Memory: memory}
		var r io.Reader = bytes.NewReader(content)
		if rapid.Bool().Draw(t, "halved") {
			r = iotest.HalfReader(r)
		}
		got, err := buffer.ReadAll(r, expected)
		if err != nil || !bytes.Equal(got, content) {
			t.Fatalf("got %d of %d bytes, %v", len(got), len(content), err)
		}
		if used := memory.Used(); used < int64(len(content)) || used > 1<<17 {
			t.Fatalf("%d bytes are reserved for %d", used, len(content))
		}
		buffer.Release()
		if memory.Used() != 0 {
			t.Fatalf("%d bytes stay reserved", memory.Used())
		}
	})
}

// TestBufferBounds guards against buffers that grow beyond their bounds, or that trust an
// announced length before the bytes have arrived.
func TestBufferBounds(t *testing.T) {
	endless := iotest.HalfReader(neverEnding('x'))
	t.Run("bytes", func(t *testing.T) {
		buffer := Buffer{Part: Body, MaxBytes: 10_000}
		_, err := buffer.ReadAll(endless, -1)
		expectBound(t, err, Bytes)
	})
	t.Run("memory", func(t *testing.T) {
		memory := NewMemory(100_000)
		buffer := Buffer{Part: Body, MaxBytes: 1 << 30, Memory: memory}
		_, err := buffer.ReadAll(endless, -1)
		expectBound(t, err, Shared)
		buffer.Release()
	})
	t.Run("announced length", func(t *testing.T) {
		memory := NewMemory(100_000)
		buffer := Buffer{Part: Body, MaxBytes: 1 << 30, Memory: memory}
		if _, err := buffer.ReadAll(strings.NewReader("short"), 1<<29); err != nil {
			t.Fatal(err)
		}
		buffer.Release()
	})
	t.Run("error of the reader", func(t *testing.T) {
		buffer := Buffer{Part: Body, MaxBytes: 100}
		if _, err := buffer.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), -1); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatal(err)
		}
	})
}

// neverEnding is a reader of one byte without an end.
type neverEnding byte

func (b neverEnding) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(b)
	}
	return len(p), nil
}

// TestMemoryNeverExceeded guards against reservations that exceed their memory together, and
// against large ones that leave nothing for small ones.
func TestMemoryNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		memory := NewMemory(limit)
		reservations := make([]Reservation, 10)
		for i := range reservations {
			reservations[i].Memory = memory
		}
		for range 200 {
			r := &reservations[rapid.IntRange(0, len(reservations)-1).Draw(t, "reservation")]
			r.Resize(rapid.Int64Range(0, limit).Draw(t, "size"))
			if memory.Used() > limit {
				t.Fatalf("%d of %d bytes are reserved", memory.Used(), limit)
			}
		}
		small := Reservation{Memory: memory}
		if !small.Resize(1) && memory.Used() < limit-1 {
			t.Fatalf("no byte beside %d reserved ones", memory.Used())
		}
	})
}

// TestAfterDeadline guards against ended parts of sound peers that are silent, or whose bytes
// waited for a suspended process, and against trickles that go on.
func TestAfterDeadline(t *testing.T) {
	at := time.Now()
	trickle, head := Limits{Part: Body, Trickle: true}, Limits{Part: Head, MaxTime: time.Second}
	for _, c := range []struct {
		name   string
		limits Limits
		window window
		late   time.Duration
		want   Bound
	}{
		{"a head that is not complete", head, window{deadline: at}, 0, Time},
		{"a head beside a suspended process", head, window{deadline: at}, time.Second, ""},
		{"a body in small pieces", trickle, window{deadline: at, reads: 100, bytes: 100}, 0, Rate},
		{"a silent body", trickle, window{deadline: at}, 0, ""},
		{"a body that paused after a piece", trickle, window{deadline: at, reads: 1, bytes: 10}, 0, ""},
		{"a body at a sound rate", trickle, window{deadline: at, reads: 100, bytes: 1000}, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.limits.afterDeadline(c.window, at.Add(c.late)); got != c.want {
				t.Fatalf("got %q, want %q", got, c.want)
			}
		})
	}
}

// connPair returns both ends of a connection, of which the first is bounded.
func connPair(t *testing.T, s ConnSettings) (*Conn, net.Conn) {
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
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return NewConn(near, s), far
}

// send writes text in pieces of one byte with a pause.
func send(c net.Conn, text string, pause time.Duration) {
	for i := range text {
		if _, err := c.Write([]byte{text[i]}); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// TestConn guards against parts that exceed their bounds on a connection, and against bounds
// of one part that end the next.
func TestConn(t *testing.T) {
	t.Run("bytes", func(t *testing.T) {
		c, far := connPair(t, ConnSettings{})
		go send(far, "0123456789", 0)
		c.Begin(Limits{Part: Head, MaxBytes: 5}, 0)
		got, err := io.ReadAll(c)
		expectBound(t, err, Bytes)
		if string(got) != "01234" {
			t.Fatalf("got %q", got)
		}
		expectBound(t, c.Cause(errors.New("malformed")), Bytes)
	})
	t.Run("time", func(t *testing.T) {
		c, far := connPair(t, ConnSettings{})
		go send(far, strings.Repeat("x", 1000), 10*time.Millisecond)
		c.Begin(Limits{Part: Head, MaxTime: 200 * time.Millisecond}, 0)
		started := time.Now()
		_, err := io.ReadAll(c)
		expectBound(t, err, Time)
		if took := time.Since(started); took < 150*time.Millisecond || took > 2*time.Second {
			t.Fatalf("ended after %v", took)
		}
	})
	t.Run("silence before the first byte takes no time", func(t *testing.T) {
		c, far := connPair(t, ConnSettings{})
		c.Begin(Limits{Part: Head, MaxTime: 100 * time.Millisecond}, 0)
		go func() {
			time.Sleep(300 * time.Millisecond)
			send(far, "whole", 0)
			_ = far.Close()
		}()
		if got, err := io.ReadAll(c); err != nil || string(got) != "whole" {
			t.Fatalf("got %q, %v", got, err)
		}
	})
	t.Run("silence after the end of the part before takes no time", func(t *testing.T) {
		c, far := connPair(t, ConnSettings{})
		c.Begin(Limits{Part: Event, MaxTime: 100 * time.Millisecond, LeadBytes: 2}, 0)
		go func() {
			send(far, "\r\n", 0)
			time.Sleep(300 * time.Millisecond)
			send(far, "whole", 0)
			_ = far.Close()
		}()
		if got, err := io.ReadAll(c); err != nil || string(got) != "\r\nwhole" {
			t.Fatalf("got %q, %v", got, err)
		}
	})
	t.Run("a part has no time of the one before", func(t *testing.T) {
		c, far := connPair(t, ConnSettings{})
		go send(far, "0123456789", 60*time.Millisecond)
		for range 10 {
			c.Begin(Limits{Part: Event, MaxTime: 150 * time.Millisecond}, 0)
			if _, err := c.Read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
		}
	})
	t.Run("a pause counts the time of both sides", func(t *testing.T) {
		c, far := connPair(t, ConnSettings{})
		go send(far, strings.Repeat("x", 100), 60*time.Millisecond)
		c.Begin(Limits{Part: Head, MaxTime: 400 * time.Millisecond}, 0)
		var err error
		for reads := 1; err == nil && reads < 100; reads++ {
			if _, err = c.Read(make([]byte, 1)); reads%3 == 0 {
				c.Pause(0)
			}
		}
		expectBound(t, err, Time)
	})
	t.Run("shared memory", func(t *testing.T) {
		memory := NewMemory(100)
		c, far := connPair(t, ConnSettings{Memory: memory, BufferBytes: 10})
		go send(far, strings.Repeat("x", 1000), 0)
		c.Begin(Limits{Part: Head, Kept: true}, 0)
		_, err := io.ReadAll(c)
		expectBound(t, err, Shared)
		c.End()
		if memory.Used() != 0 {
			t.Fatalf("%d bytes stay reserved", memory.Used())
		}
	})
}

// receiveBuffer returns the size of the receive buffer of a connection.
func receiveBuffer(t *testing.T, c net.Conn) (size int) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	controlErr := raw.Control(func(fd uintptr) { size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF) })
	if controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	return size
}

// TestLimitSocket guards against sockets that grow to megabytes as they are read, and then hold
// as much of what is not read.
func TestLimitSocket(t *testing.T) {
	limit := func(_, _ string, raw syscall.RawConn) error { return LimitSocket(raw) }
	listen := net.ListenConfig{Control: limit}
	listener, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialer := net.Dialer{Control: limit}
	dialed, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = dialed.Close() }()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	for name, ends := range map[string][2]net.Conn{"dialed": {dialed, accepted}, "accepted": {accepted, dialed}} {
		t.Run(name, func(t *testing.T) {
			const total = 64 << 20
			go func() {
				block := make([]byte, 1<<20)
				for range total / len(block) {
					if _, err := ends[1].Write(block); err != nil {
						return
					}
				}
			}()
			if _, err := io.CopyN(io.Discard, ends[0], total); err != nil {
				t.Fatal(err)
			}
			if size := receiveBuffer(t, ends[0]); size > 2*socketBytes {
				t.Fatalf("the socket holds %d bytes", size)
			}
		})
	}
}

// BenchmarkConn reads a response that arrives at once, as most do.
func BenchmarkConn(b *testing.B) {
	c := NewConn(&repeatedConn{}, ConnSettings{Memory: NewMemory(1 << 20), BufferBytes: 2048})
	buffer := make([]byte, 2048)
	b.ReportAllocs()
	for b.Loop() {
		c.Begin(Limits{Part: Head, MaxBytes: 1 << 15, MaxTime: time.Second, Kept: true}, 0)
		if _, err := c.Read(buffer); err != nil {
			b.Fatal(err)
		}
		c.Begin(Limits{Part: Body, Trickle: true}, 100)
		c.End()
	}
}

// repeatedConn is a connection on which 1000 bytes have always arrived.
type repeatedConn struct{ net.Conn }

// Read implements net.Conn.
func (*repeatedConn) Read([]byte) (int, error) { return 1000, nil }
