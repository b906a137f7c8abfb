// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/standin"
)

// TestEarlyAnswer guards against an answer that the caller gets as whole although its upstream
// reset the connection during the upload, and against a sound one that the caller does not get.
func TestEarlyAnswer(t *testing.T) {
	// The fixtures of the subtests report to this test.
	RegisterTestingT(t)
	const attempts = 10
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nResponse-Seal: x\r\n"
	plain, stream := head+"Content-Type: text/plain\r\n\r\npart", head+"Content-Type: text/event-stream\r\n\r\n"+events(3)
	for path, c := range map[string]struct {
		text    string
		service granitehoist.Service
	}{
		"/safe/x":   {plain, desk},
		"/unsafe/x": {plain, desk},
		"/stream/x": {stream, model},
		"/resume/x": {stream, model},
	} {
		for end, whole := range map[string]bool{"a reset": false, "an orderly end": true} {
			t.Run(strings.Trim(path, "/x")+", "+end, func(t *testing.T) {
				endConnection := standin.CloseWriteFor(30 * time.Millisecond)
				if !whole {
					endConnection = standin.ResetAfter(30 * time.Millisecond)
				}
				for attempt := range attempts {
					if got, err := serveEarly(t, path, c.service, c.text, endConnection); (err == nil) != whole {
						t.Errorf("attempt %d: %q, %v", attempt, got, err)
					}
				}
			})
		}
	}
}

// serveEarly serves a request with a long body before an upstream that sends text at once and
// then calls end. It returns what the caller got.
func serveEarly(t *testing.T, path string, service granitehoist.Service, text string, end func(*net.TCPConn)) (string, error) {
	t.Helper()
	u, err := standin.NewRawUpstream(text, end)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = u.Close() }()
	s := newFixture()
	s.table.Announce(balance.Instance{ID: "i-1", Service: service, Address: u.Address(), Version: 1}, time.Now())
	r, sink := request(path), &fakeSink{}
	r.Body = make([]byte, 12<<20)
	_, err = s.forwarder.Serve(context.Background(), r, sink)
	return sink.text(), err
}
