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

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = Describe("An answer", func() {
	header := http.Header{"Id": {"r-1"}}
	matching := func(id string) func(http.Header) bool {
		return func(h http.Header) bool { return h.Get("Id") == id }
	}

	DescribeTable("is",
		func(status int, matches func(http.Header) bool, expected answerKind) {
			Expect(kindOf(status, header, matches)).To(Equal(expected))
		},
		Entry("interim below 200, whatever its header", 199, matching("r-1"), interim),
		Entry("the request's own if its header says so", 200, matching("r-1"), own),
		Entry("an earlier request's otherwise", 200, matching("r-2"), foreign),
		Entry("the request's own if nothing is to match", 500, nil, own),
	)

	DescribeTable("that can't be read means",
		func(err error, crossed bool, expected granitehoist.Code) {
			got := readError(err, crossed)
			Expect(granitehoist.CodeOf(got)).To(Equal(expected))
			Expect(granitehoist.CodeOf(got).Info().Fate).To(Equal(granitehoist.MayHaveRun))
			Expect(errors.Is(got, err)).To(BeTrue())
		},
		Entry("a lost upstream if the connection ended", io.EOF, false, granitehoist.UpstreamLost),
		Entry("a lost upstream if it ended within the head", fmt.Errorf("head: %w", io.ErrUnexpectedEOF), false, granitehoist.UpstreamLost),
		Entry("a lost upstream if the connection broke", &net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}, false, granitehoist.UpstreamLost),
		Entry("a lost upstream if we closed the connection", &net.OpError{Op: "read", Err: net.ErrClosed}, false, granitehoist.UpstreamLost),
		Entry("a bad answer if the bytes are none", errors.New("malformed HTTP response"), false, granitehoist.UpstreamBadAnswer),
		Entry("a crossed answer after an earlier request's", io.EOF, true, granitehoist.AnswerCrossed),
	)
})
