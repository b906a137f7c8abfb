// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package tcpstate_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"granitehoist.example/granitehoist/internal/tcpstate"
)

// pair returns both ends of a TCP connection.
func pair(t testing.TB) (client, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // both ends exist by then
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() }) // a test may have closed them
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// eventually fails the test unless check holds within some seconds.
func eventually(t *testing.T, check func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatal("the state has not been reached")
}

func TestOf(t *testing.T) {
	t.Run("unread bytes", func(t *testing.T) {
		client, server := pair(t)
		if _, err := client.Write([]byte("request")); err != nil {
			t.Fatal(err)
		}
		const waited = 60 * time.Millisecond
		time.Sleep(waited)
		s := tcpstate.Of(server)
		if s.SinceLastData < waited/2 || s.SinceLastData > 20*waited || s.PeerClosed {
			t.Errorf("after %s: %+v", waited, s)
		}
	})
	t.Run("closed by the peer", func(t *testing.T) {
		client, server := pair(t)
		_ = client.Close() // the state tells whether it worked
		eventually(t, func() bool { return tcpstate.Of(server).PeerClosed })
	})
	t.Run("reset by the peer", func(t *testing.T) {
		client, server := pair(t)
		if err := client.SetLinger(0); err != nil {
			t.Fatal(err)
		}
		_ = client.Close() // the state tells whether it worked
		eventually(t, func() bool { return tcpstate.Of(server).PeerClosed })
	})
	t.Run("closed by this process", func(t *testing.T) {
		_, server := pair(t)
		_ = server.Close() // Of has to cope either way
		if s := tcpstate.Of(server); s != (tcpstate.State{}) {
			t.Errorf("%+v", s)
		}
	})
	t.Run("no TCP connection", func(t *testing.T) {
		client, _ := net.Pipe()
		if s := tcpstate.Of(client); s != (tcpstate.State{}) {
			t.Errorf("%+v", s)
		}
	})
	t.Run("no connection in the context", func(t *testing.T) {
		if s := tcpstate.OfContext(context.Background()); s != (tcpstate.State{}) {
			t.Errorf("%+v", s)
		}
	})
}

func ExampleOfContext() {
	fmt.Println(tcpstate.OfContext(context.Background()).PeerClosed)
	// Output: false
}

func BenchmarkOf(b *testing.B) {
	_, server := pair(b)
	b.ReportAllocs()
	for b.Loop() {
		tcpstate.Of(server)
	}
}
