// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package boxlist_test

import (
	"context"
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

var _ = Describe("A client of the list of boxes", func() {
	ctx := context.Background()
	var store *standin.Store
	var client *boxlist.Client
	BeforeEach(func() {
		store = standin.NewStore(standin.StoreSettings{})
		server := httptest.NewServer(store.Handler())
		DeferCleanup(server.Close)
		client = boxlist.New(boxlist.Settings{Address: server.URL, Timeout: time.Second})
	})

	It("lists boxes", func() {
		store.ListBox("b", true)
		Expect(client.Boxes(ctx)).To(HaveKeyWithValue(granitehoist.Box("b"), true))
	})

	DescribeTable("tells a refusal from an answer that did not come",
		func(faults standin.StoreFaults, want error) {
			store.Fail(faults)
			_, err := client.Boxes(ctx)
			Expect(err).To(MatchError(want))
		},
		Entry("down", standin.StoreFaults{Down: true}, granitehoist.ErrUnavailable),
		Entry("silent", standin.StoreFaults{Silent: true}, granitehoist.ErrUnknown),
		Entry("slower than the timeout", standin.StoreFaults{Delay: 3 * time.Second}, granitehoist.ErrUnknown),
	)

	It("takes an odd answer for no list", func() {
		odd := httptest.NewServer(http.NotFoundHandler())
		defer odd.Close()
		_, err := boxlist.New(boxlist.Settings{Address: odd.URL}).Boxes(ctx)
		Expect(err).To(MatchError(granitehoist.ErrUnknown))
	})
})
