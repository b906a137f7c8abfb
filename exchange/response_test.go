// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/readlimit"
)

var _ = Describe("A response", func() {
	header := http.Header{"Id": {"r-1"}}
	matching := func(id string) func(http.Header) bool {
		return func(h http.Header) bool { return h.Get("Id") == id }
	}

	DescribeTable("is",
		func(status int, matches func(http.Header) bool, expected responseKind) {
			Expect(classifyResponse(status, header, matches)).To(Equal(expected))
		},
		Entry("interim below status 200, whatever its header", 199, matching("r-1"), interim),
		Entry("matched if its header belongs to the request", 200, matching("r-1"), matched),
		Entry("stale otherwise", 200, matching("r-2"), stale),
		Entry("matched without a match function", 500, nil, matched),
	)

	DescribeTable("that can't be read is reported as",
		func(err error, sawStale bool, expected granitehoist.Code) {
			got := classifyReadError(err, sawStale)
			Expect(granitehoist.CodeOf(got)).To(Equal(expected))
			Expect(granitehoist.CodeOf(got).Info().Execution).To(Equal(granitehoist.MayHaveRun))
			Expect(errors.Is(got, err)).To(BeTrue())
		},
		Entry("a lost upstream if the connection ended", io.EOF, false, granitehoist.UpstreamLost),
		Entry("a lost upstream if the connection ended within the head", fmt.Errorf("head: %w", io.ErrUnexpectedEOF), false, granitehoist.UpstreamLost),
		Entry("a lost upstream if the connection failed", &net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}, false, granitehoist.UpstreamLost),
		Entry("a lost upstream if the router closed the connection", &net.OpError{Op: "read", Err: net.ErrClosed}, false, granitehoist.UpstreamLost),
		Entry("a bad answer if the bytes are not HTTP", errors.New("malformed HTTP response"), false, granitehoist.UpstreamBadAnswer),
		Entry("a bad answer if a bound is exceeded", &readlimit.Error{Part: readlimit.Head, Bound: readlimit.Bytes}, false, granitehoist.UpstreamBadAnswer),
		Entry("a crossed answer after a stale response", io.EOF, true, granitehoist.AnswerCrossed),
	)

	It("that can't be read is quoted in part only", func() {
		err := classifyReadError(errors.New(strings.Repeat("x", 1<<20)), false)
		Expect(len(err.Error())).To(BeNumerically("<", 1000))
	})
})
