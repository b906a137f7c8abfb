// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router_test

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/router"
	"granitehoist.example/granitehoist/partner/settings"
	"granitehoist.example/granitehoist/standin"
)

const documentText = `partner = "tuul"
[[workspace]]
name = "kiosk"
[[budget]]
workspace = "kiosk"
name = "season"
tokens = 1000
`

// partitionedStore is a store whose Watch and RenewLease fail once cut is closed.
type partitionedStore struct {
	granitehoist.Store
	cut chan struct{}
}

func (s partitionedStore) isCut() bool {
	select {
	case <-s.cut:
		return true
	default:
		return false
	}
}

func (s partitionedStore) Watch(ctx context.Context, prefix string, after granitehoist.Version, wait time.Duration) ([]granitehoist.Entry, granitehoist.Version, error) {
	if s.isCut() {
		return nil, 0, granitehoist.ErrUnavailable
	}
	entries, version, err := s.Store.Watch(ctx, prefix, after, wait)
	if s.isCut() {
		return nil, 0, granitehoist.ErrUnavailable
	}
	return entries, version, err
}

func (s partitionedStore) RenewLease(ctx context.Context, id granitehoist.LeaseID) error {
	if s.isCut() {
		return granitehoist.ErrUnavailable
	}
	return s.Store.RenewLease(ctx, id)
}

var _ = Describe("Router", func() {
	var store *standin.Store
	var offset atomic.Int64
	var public ed25519.PublicKey
	var private ed25519.PrivateKey
	BeforeEach(func() {
		offset.Store(0)
		store = standin.NewStore(standin.StoreSettings{Clock: func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }, Watch: 20 * time.Millisecond})
		var err error
		public, private, err = ed25519.GenerateKey(rand.Reader)
		Expect(err).NotTo(HaveOccurred())
	})

	start := func(box granitehoist.Box, s granitehoist.Store) *router.Router {
		GinkgoHelper()
		const port = "127.0.0.1:0"
		r, err := router.New(router.Settings{
			Router: &settings.Router{
				Partner: "tuul", Region: "tuul", Zone: "gachuurt", Box: box,
				Listen: settings.Listen{Callers: port, Peers: port, Admin: port},
				Trust:  []settings.Trust{{Partner: "tuul", Keys: []string{base64.StdEncoding.EncodeToString(public)}}},
				Limits: settings.Limits{HeaderBytes: 4096, BodyBytes: 4096, ReadinessDelay: settings.Duration(time.Millisecond)},
				Budget: settings.Budget{Shards: 1, Interval: settings.Duration(10 * time.Millisecond)},
			},
			Store:    s,
			Platform: store,
		})
		Expect(err).NotTo(HaveOccurred())
		r.Start()
		DeferCleanup(r.Kill)
		return r
	}
	signed := func(serial granitehoist.Serial, previous string) config.Signed {
		s := config.Signed{Partner: "tuul", Text: documentText, Serial: serial, ChangeID: fmt.Sprint("c", serial), Previous: previous}
		s.Sign(private)
		return s
	}
	apply := func(r *router.Router, s config.Signed) (int, router.DocumentState) {
		GinkgoHelper()
		var state router.DocumentState
		response, err := sling.New().Put("http://"+r.AdminAddress()+router.PathDocuments+"tuul").BodyJSON(s).Receive(&state, nil)
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode, state
	}
	accepted := func(r *router.Router) func() bool {
		return func() bool {
			var state router.DocumentState
			_, err := sling.New().Get("http://"+r.AdminAddress()+router.PathDocuments+"tuul").Receive(&state, nil)
			return err == nil && state.Accepted
		}
	}

	// waitRegistered waits until the given number of routers are registered, since
	// routers that are not do not delay the acceptance of a document.
	waitRegistered := func(routers int) {
		GinkgoHelper()
		Eventually(func() ([]granitehoist.Entry, error) {
			entries, _, err := store.List(context.Background(), "serving/")
			return entries, err
		}).Should(HaveLen(routers))
	}

	It("reports a document accepted when every router has it in force", func() {
		a, b := start("a", store), start("b", store)
		waitRegistered(2)
		status, _ := apply(a, signed(1, ""))
		Expect(status).To(BeElementOf(http.StatusOK, http.StatusAccepted))
		Eventually(accepted(a)).Should(BeTrue())
		Expect(b.View().Serial("tuul")).To(Equal(granitehoist.Serial(1)))
	})

	It("does not accept a document while a router with an expired lease may be serving", func() {
		cut := make(chan struct{})
		a, b := start("a", store), start("b", partitionedStore{store, cut})
		waitRegistered(2)
		apply(a, signed(1, ""))
		Eventually(accepted(a)).Should(BeTrue())
		close(cut)
		time.Sleep(50 * time.Millisecond)
		offset.Store(int64(time.Minute))
		_, state := apply(a, signed(2, "c1"))
		Expect(b.View().Serial("tuul")).To(Equal(granitehoist.Serial(1)), "it still applies the older document")
		Expect(state.Accepted).To(BeFalse())
		Consistently(accepted(a), "200ms").Should(BeFalse())

		By("removing its box from the platform's list")
		store.SetBox("a", false)
		Eventually(accepted(a)).Should(BeTrue())
	})

	It("returns the conflict code to a concurrent operator", func() {
		a := start("a", store)
		apply(a, signed(1, ""))
		other := signed(1, "")
		other.ChangeID = "other"
		other.Sign(private)
		var refusal router.AdminError
		response, err := sling.New().Put("http://"+a.AdminAddress()+router.PathDocuments+"tuul").BodyJSON(other).Receive(nil, &refusal)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusConflict))
		Expect(granitehoist.Code(refusal.Code)).To(Equal(granitehoist.DocumentConflict))
	})

	It("serves its metrics", func() {
		a := start("a", store)
		_, err := http.Get("http://" + a.CallersAddress() + "/nothing")
		Expect(err).NotTo(HaveOccurred())
		response, err := http.Get("http://" + a.AdminAddress() + router.PathMetrics)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring(`granitehoist_requests_total{code="1009"} 1`))
	})

	It("removes its store entries in a planned stop", func() {
		a := start("a", store)
		Eventually(func() int {
			entries, _, _ := store.List(context.Background(), "serving/")
			return len(entries)
		}).Should(Equal(1))
		Expect(a.Stop(context.Background())).To(Succeed())
		for _, prefix := range []string{"serving/", "boxes/"} {
			entries, _, err := store.List(context.Background(), prefix)
			Expect(err).NotTo(HaveOccurred())
			Expect(entries).To(BeEmpty())
		}
	})

	It("names an address that is in use", func() {
		a := start("a", store)
		_, err := router.New(router.Settings{Store: store, Router: &settings.Router{Listen: settings.Listen{Callers: a.CallersAddress(), Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"}, Budget: settings.Budget{Shards: 1}}})
		Expect(err).To(MatchError(ContainSubstring("callers' address")))
	})
})
