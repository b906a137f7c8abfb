// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package httpvalid_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"granitehoist.example/granitehoist/internal/httpvalid"
)

// responses tells whether a response is valid.
var responses = map[string]bool{
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                                         true,
	"HTTP/1.0 200 OK\r\n\r\n":                                                              true,
	"HTTP/1.1 100 x\r\n\r\n":                                                               true,
	"HTTP/1.1 599 x\r\nContent-Length: 0\r\n\r\n":                                          true,
	"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 0\r\n\r\n":             true,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nLate: 1\r\n\r\n":            true,
	"HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n":                                          false,
	"HTTP/1.1 099 x\r\nContent-Length: 0\r\n\r\n":                                          false,
	"HTTP/1.1 +20 x\r\nContent-Length: 0\r\n\r\n":                                          false,
	"HTTP/1.1 101 x\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n":                          false,
	"HTTP/1.1 600 x\r\nContent-Length: 0\r\n\r\n":                                          false,
	"HTTP/1.1 999 x\r\nContent-Length: 0\r\n\r\n":                                          false,
	"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n":                                         false,
	"HTTP/1.1 200 OK\r\nX Broken: 1\r\nContent-Length: 0\r\n\r\n":                          false,
	"HTTP/1.1 200 OK\r\nContent-Length : 0\r\nContent-Length: 0\r\n\r\n":                   false,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Broken: 1\r\n\r\n":        false,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nLate : 1\r\n\r\n": false,
}

// expectValid fails the test unless err, the result of reading a response, says whether the
// response is valid.
func expectValid(t *testing.T, err error, valid bool) {
	t.Helper()
	var invalid *httpvalid.Error
	if got := err == nil; got != valid || (err != nil && !errors.As(err, &invalid)) {
		t.Errorf("valid %t, error %v", valid, err)
	}
}

// TestResponse guards against an invalid response that is used, and a valid one that is not.
func TestResponse(t *testing.T) {
	for text, valid := range responses {
		t.Run(text, func(t *testing.T) {
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
			if err != nil {
				t.Fatal(err)
			}
			err = httpvalid.Response(response)
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			expectValid(t, err, valid)
		})
	}
}

// TestTransport guards against an invalid response, or an interim one before it, that is used
// by a client of net/http.
func TestTransport(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]bool{
		"HTTP/1.1 103 x\r\nLink: x\r\n\r\n" + final:                           true,
		"HTTP/1.1 103 x\r\nX Broken: 1\r\n\r\n" + final:                       false,
		strings.Repeat("HTTP/1.1 103 x\r\n\r\n", 5) + final:                   true,
		strings.Repeat("HTTP/1.1 103 x\r\nField: x\r\n\r\n", 100_000) + final: false,
	}
	for text, valid := range responses {
		if strings.Contains(text, "Content-Length") || strings.Contains(text, "chunked") { // ends without its connection
			cases[text] = valid
		}
	}
	for text, valid := range cases {
		t.Run(fmt.Sprintf("%.60s", text), func(t *testing.T) {
			client, opened := serveText(t, text)
			const calls = 3
			for range calls {
				response, err := client.Get("http://upstream.example/")
				if err == nil {
					_, err = io.ReadAll(response.Body)
					_ = response.Body.Close()
				}
				expectValid(t, err, valid)
			}
			if !valid && !strings.Contains(text, "chunked") && opened.Load() != calls {
				t.Errorf("%d calls used %d connections", calls, opened.Load())
			}
		})
	}
}

// serveText returns a client whose requests are all answered with text, and the number of its
// connections.
func serveText(t *testing.T, text string) (*http.Client, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	opened := &atomic.Int64{}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				for reader := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					if _, err := io.WriteString(c, text); err != nil {
						return
					}
				}
			}()
		}
	}()
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", listener.Addr().String())
	}
	transport := &http.Transport{DialContext: dial}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: &httpvalid.Transport{Base: transport}}, opened
}
