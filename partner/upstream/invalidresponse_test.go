// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package upstream_test

import (
	"fmt"
	"testing"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/upstream"
)

// TestInvalidResponse guards against a response with a status, a version or a field name that
// HTTP does not allow, and that is passed on or taken for a refusal.
func TestInvalidResponse(t *testing.T) {
	const body = `{"id":"c-box-1.1","choices":[{"index":0,"message":{"content":"x"},"finish_reason":"stop"}]}`
	const id, broken = "X-Request-Id: box-1.1\r\n", "X Broken: 1\r\n"
	framed := fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	chunked := fmt.Sprintf("Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(body), body)
	for name, text := range map[string]string{
		"field name":                "HTTP/1.1 200 OK\r\n" + id + broken + framed,
		"field name of a refusal":   "HTTP/1.1 503 x\r\n" + id + broken + "Content-Length: 0\r\n\r\n",
		"field name of a rejection": "HTTP/1.1 400 x\r\n" + id + broken + "Content-Length: 0\r\n\r\n",
		"field name of an interim":  "HTTP/1.1 103 x\r\n" + broken + "\r\nHTTP/1.1 200 OK\r\n" + id + framed,
		"field name of a trailer":   "HTTP/1.1 200 OK\r\n" + id + chunked + broken + "\r\n",
		"length's name":             "HTTP/1.1 200 OK\r\n" + id + "Content-Length : 3\r\n\r\n" + body,
		"coding's name":             "HTTP/1.1 200 OK\r\n" + id + "Transfer Encoding: chunked\r\n\r\n" + body,
		"status 000":                "HTTP/1.1 000 x\r\n" + id + framed,
		"status 099":                "HTTP/1.1 099 x\r\n" + id + framed,
		"status +20":                "HTTP/1.1 +20 x\r\n" + id + framed,
		"status 101":                "HTTP/1.1 101 x\r\n" + id + framed,
		"status 600":                "HTTP/1.1 600 x\r\n" + id + framed,
		"status 999":                "HTTP/1.1 999 x\r\n" + id + framed,
		"version":                   "HTTP/2.0 200 OK\r\n" + id + framed,
	} {
		for protocolName, protocol := range map[string]granitehoist.Protocol{"engine": upstream.NewEngine(), "plain": upstream.NewPlain()} {
			t.Run(protocolName+" "+name, func(t *testing.T) {
				address, s := serveBytes(t, true, func(int, string) string { return text }), &sink{}
				_, err := protocol.Do(ctx, call(address, false), s)
				switch {
				case err == nil:
					t.Errorf("status %d and %q passed on", s.status, s.body.String())
				case granitehoist.CodeOf(err).Info().Execution == granitehoist.NotRun:
					t.Errorf("refused as not run: %v", err)
				}
			})
		}
	}
}
