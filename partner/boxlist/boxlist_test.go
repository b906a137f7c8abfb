// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package boxlist_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/boxlist"
	"granitehoist.example/granitehoist/standin"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "boxlist")
}

var _ = Describe("Client", func() {
	ctx := context.Background()
	var store *standin.Store
	var client *boxlist.Client
	BeforeEach(func() {
		store = standin.NewStore(standin.StoreSettings{})
		server := httptest.NewServer(store.Handler())
		DeferCleanup(server.Close)
		client = boxlist.New(boxlist.Settings{Address: server.URL, Timeout: time.Second})
	})

	It("returns the listed boxes", func() {
		store.SetBox("b", true)
		Expect(client.Boxes(ctx)).To(HaveKeyWithValue(granitehoist.Box("b"), true))
	})

	DescribeTable("maps unavailability and missing responses to different errors",
		func(faults standin.StoreFaults, want error) {
			store.Fail(faults)
			_, err := client.Boxes(ctx)
			Expect(err).To(MatchError(want))
		},
		Entry("store down", standin.StoreFaults{Down: true}, granitehoist.ErrUnavailable),
		Entry("no response", standin.StoreFaults{Hang: true}, granitehoist.ErrUnknown),
		Entry("response after the timeout", standin.StoreFaults{Delay: 3 * time.Second}, granitehoist.ErrUnknown),
	)

	It("returns ErrUnknown for an unexpected status", func() {
		notFound := httptest.NewServer(http.NotFoundHandler())
		defer notFound.Close()
		_, err := boxlist.New(boxlist.Settings{Address: notFound.URL}).Boxes(ctx)
		Expect(err).To(MatchError(granitehoist.ErrUnknown))
	})

	It("returns ErrUnknown for an invalid response", func() {
		const body = `{"boxes":{"b":true}}`
		server, err := standin.NewRawUpstream(fmt.Sprintf("HTTP/1.1 200 OK\r\nX Broken: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body), standin.CloseWriteFor(0))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = server.Close() }()
		_, err = boxlist.New(boxlist.Settings{Address: "http://" + server.Address()}).Boxes(ctx)
		Expect(err).To(MatchError(granitehoist.ErrUnknown))
	})
})
