// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
)

// A valid head without its end, and a body with its length.
const (
	validHead  = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nResponse-Seal: x\r\n"
	framedBody = "Content-Length: 6\r\n\r\nanswer"
)

// invalidNames are field names that HTTP does not allow (RFC 9110, section 5.1).
var invalidNames = map[string]string{
	"a blank":                "X Broken",
	"a blank at the end":     "X-Broken ",
	"a tab":                  "X\tBroken",
	"a tab at the end":       "X-Broken\t",
	"a control byte":         "X\x01Broken",
	"NUL":                    "X\x00Broken",
	"DEL":                    "X\x7fBroken",
	"a carriage return":      "X\rBroken",
	"a separator":            "X(Broken)",
	"a byte above ASCII":     "X-Br\xf6ken",
	"no character":           "",
	"a framing name, spread": "Content Length",
}

// expectInvalid serves a request on each kind of route before an upstream that answers with
// text, and fails the test unless each ends as a bad answer that may have run.
func expectInvalid(t *testing.T, text string) {
	t.Helper()
	// The fixtures report to this test.
	RegisterTestingT(t)
	address := answerRaw(t, func() (string, bool) { return text, false })
	for path, service := range map[string]granitehoist.Service{"/safe/x": desk, "/unsafe/x": desk, "/stream/x": model, "/resume/x": model} {
		s := newFixture()
		s.table.Announce(balance.Instance{ID: "i-1", Service: service, Address: address, Version: 1}, time.Now())
		sink := &fakeSink{}
		_, err := s.forwarder.Serve(context.Background(), request(path), sink)
		switch {
		case err == nil:
			t.Errorf("%s: the caller got status %d and %q", path, sink.status, sink.text())
		case granitehoist.CodeOf(err).Info().Execution == granitehoist.NotRun:
			t.Errorf("%s: refused as not run: %v", path, err)
		}
	}
}

// TestInvalidFieldName guards against an answer that the caller gets although a field name in
// it is invalid, so that its framing and its meaning are in doubt.
func TestInvalidFieldName(t *testing.T) {
	for what, name := range invalidNames {
		for part, text := range map[string]string{
			"head":        validHead + "%s: 1\r\n" + framedBody,
			"first field": "HTTP/1.1 200 OK\r\n%s: 1\r\n" + strings.TrimPrefix(validHead, "HTTP/1.1 200 OK\r\n") + framedBody,
			"refusal":     "HTTP/1.1 503 x\r\nAttempt-Id: r-1\r\nNot-Executed: 1\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
			"interim":     "HTTP/1.1 103 x\r\n%s: 1\r\n\r\n" + validHead + framedBody,
			"stale":       "HTTP/1.1 200 x\r\nAttempt-Id: r-0\r\n%s: 1\r\nContent-Length: 0\r\n\r\n" + validHead + framedBody,
			"trailer":     validHead + "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n%s: 1\r\n\r\n",
		} {
			t.Run(what+" in the "+part, func(t *testing.T) { expectInvalid(t, fmt.Sprintf(text, name)) })
		}
	}
}

// TestInvalidFraming guards against an answer whose length the upstream stated in a field that
// is not valid, so that the caller gets another body than the upstream sent.
func TestInvalidFraming(t *testing.T) {
	for name, field := range map[string]string{
		"a blank after the length's name": "Content-Length : 6\r\n\r\nanswer",
		"a blank in the length's name":    "Content Length: 60\r\n\r\nanswer",
		"a blank after the coding's name": "Transfer-Encoding : chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
		"a blank in the coding's name":    "Transfer Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
		"two lengths that differ":         "Content-Length: 6\r\nContent-Length: 3\r\n\r\nanswer",
		"a length with a sign":            "Content-Length: +6\r\n\r\nanswer",
		"an empty length":                 "Content-Length:\r\n\r\nanswer",
		"an unknown coding":               "Transfer-Encoding: x\r\n\r\nanswer",
		"two codings":                     "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
		"a control byte in the length":    "Content-Length: 6\x01\r\n\r\nanswer",
	} {
		t.Run(name, func(t *testing.T) { expectInvalid(t, validHead+field) })
	}
}

// TestInvalidFieldValue guards against an answer with a field value that HTTP does not allow.
func TestInvalidFieldValue(t *testing.T) {
	for name, value := range map[string]string{"a control byte": "a\x01b", "NUL": "a\x00b", "DEL": "a\x7fb", "a carriage return": "a\rb"} {
		t.Run(name, func(t *testing.T) { expectInvalid(t, validHead+"X: "+value+"\r\n"+framedBody) })
	}
}

// TestInvalidStatus guards against an answer that the caller gets although its status line is
// invalid (RFC 9110, section 15).
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-20", "20", "2000", "2x0", "", "600", "777", "999", "101"} {
		for _, field := range []string{"", "Not-Executed: 1\r\n"} {
			t.Run(status+" "+strings.TrimSpace(field), func(t *testing.T) {
				expectInvalid(t, "HTTP/1.1 "+status+" x\r\nAttempt-Id: r-1\r\nResponse-Seal: x\r\n"+field+framedBody)
			})
		}
	}
	for _, version := range []string{"HTTP/2.0", "HTTP/0.9", "HTTP/11.1", "http/1.1", "ICY"} {
		t.Run(version, func(t *testing.T) {
			expectInvalid(t, version+strings.TrimPrefix(validHead, "HTTP/1.1")+framedBody)
		})
	}
	// A valid response may follow what a parser takes for an interim one.
	for _, status := range []string{"000", "099", "+20", "101"} {
		t.Run(status+" before a valid one", func(t *testing.T) {
			expectInvalid(t, "HTTP/1.1 "+status+" x\r\nAttempt-Id: r-1\r\n\r\n"+validHead+framedBody)
		})
	}
}

// TestTransferCodingOfHTTP10 guards against an answer in HTTP/1.0 whose chunks the caller gets as
// its body: such an answer has a faulty framing (RFC 9112, section 6.1).
func TestTransferCodingOfHTTP10(t *testing.T) {
	expectInvalid(t, "HTTP/1.0 200 OK"+strings.TrimPrefix(validHead, "HTTP/1.1 200 OK")+"Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n")
}
