// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package linkmeter_test

import (
	"io"
	"net"
	"testing"
	"time"

	"granitehoist.example/granitehoist/internal/linkmeter"
)

// TestMeter checks that both directions of accepted connections are counted.
func TestMeter(t *testing.T) {
	var meter linkmeter.Meter
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := meter.Listener(plain)
	defer func() { _ = listener.Close() }()
	done := make(chan error, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		_, err = io.CopyN(c, c, 3)
		done <- err
		_ = c.Close()
	}()
	c, err := net.Dial("tcp", plain.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte("abc")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	r := meter.Read(time.Unix(2, 0))
	if r.Received != 3 || r.Sent != 3 {
		t.Fatalf("counted %+v", r)
	}
	if rate := r.Rate(linkmeter.Reading{At: time.Unix(1, 0), Received: 1}); rate != 3 {
		t.Fatalf("rate %v", rate)
	}
	if rate := r.Rate(r); rate != 0 {
		t.Fatalf("rate over no time %v", rate)
	}
}
