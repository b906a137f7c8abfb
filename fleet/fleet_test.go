// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/standin"
)

var ctx = context.Background()

type echo struct {
	Text string `json:"text"`
}

var _ = Describe("Client and Server", func() {
	var server *fleet.Server
	var client *fleet.Client
	var me granitehoist.Peer
	BeforeEach(func() {
		before := goleak.IgnoreCurrent()
		server = fleet.NewServer(fleet.ServerSettings{Self: "me", Methods: map[string]fleet.HandlerFunc{
			"echo": fleet.Handle(func(_ context.Context, e echo) (echo, error) { return e, nil }),
			"fail": fleet.Handle(func(context.Context, echo) (echo, error) { return echo{}, errors.New("no") }),
			"hang": fleet.Handle(func(_ context.Context, e echo) (echo, error) {
				time.Sleep(1500 * time.Millisecond)
				return e, nil
			}),
		}, Greetings: map[string]fleet.HandlerFunc{
			"greet": fleet.Handle(func(_ context.Context, e echo) (echo, error) { return e, nil }),
		}})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		me = granitehoist.Peer{Incarnation: "me", Address: listener.Addr().String()}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = server.Serve(listener)
		}()
		client = fleet.NewClient(fleet.ClientSettings{Timeout: stepTimeout})
		DeferCleanup(func() {
			client.Close()
			server.Close()
			<-done
			Eventually(func() error { return goleak.Find(before) }).Should(Succeed())
		})
	})

	It("accepts only greetings from a caller that does not know the incarnation", func() {
		to := granitehoist.Peer{Address: me.Address}
		var got echo
		Expect(client.Call(ctx, to, "greet", echo{"hello"}, &got)).To(Succeed())
		Expect(got.Text).To(Equal("hello"))
		Expect(client.Call(ctx, to, "echo", echo{"hello"}, &got)).NotTo(Succeed())
	})

	It("transmits a call and its reply", func() {
		var got echo
		Expect(client.Call(ctx, me, "echo", echo{"x"}, &got)).To(Succeed())
		Expect(got.Text).To(Equal("x"))
	})

	It("returns errors for failed calls, unknown methods and timeouts, and stays usable", func() {
		var got echo
		Expect(client.Call(ctx, me, "fail", echo{}, &got)).To(MatchError(ContainSubstring("no")))
		Expect(client.Call(ctx, me, "none", echo{}, &got)).To(MatchError(ContainSubstring("no such method")))
		Expect(client.Call(ctx, me, "echo", []int{1}, &got)).NotTo(Succeed())
		impatient := fleet.NewClient(fleet.ClientSettings{Timeout: 700 * time.Millisecond})
		defer impatient.Close()
		Expect(impatient.Call(ctx, me, "hang", echo{}, &got)).To(MatchError(context.DeadlineExceeded))
		Eventually(func() error { return impatient.Call(ctx, me, "echo", echo{"y"}, &got) }).Should(Succeed())
		Expect(got.Text).To(Equal("y"))
	})

	It("is rejected by a router that has taken over the address", func() {
		var got echo
		predecessor := granitehoist.Peer{Incarnation: "before-me", Address: me.Address}
		err := client.Call(ctx, predecessor, "echo", echo{"x"}, &got)
		Expect(err).To(MatchError(ContainSubstring("not before-me")))
		Expect(err).To(MatchError(fleet.ErrOtherIncarnation))
		Expect(got.Text).To(BeEmpty())
	})

	It("fails after the server has closed", func() {
		var got echo
		Expect(client.Call(ctx, me, "echo", echo{"x"}, &got)).To(Succeed())
		server.Close()
		Expect(client.Call(ctx, me, "echo", echo{"x"}, &got)).NotTo(Succeed())
		Expect(client.Call(ctx, granitehoist.Peer{Incarnation: "me", Address: "127.0.0.1:1"}, "echo", echo{"x"}, &got)).NotTo(Succeed())
	})
})

var _ = Describe("Server", func() {
	It("closes the listener if it was closed before Serve", func() {
		server := fleet.NewServer(fleet.ServerSettings{Self: "me"})
		server.Close()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		done := make(chan error, 1)
		go func() { done <- server.Serve(listener) }()
		Eventually(done).Should(Receive(BeNil()))
		_, err = net.Dial("tcp", listener.Addr().String())
		Expect(err).To(HaveOccurred())
	})
})

func members(n int) []fleet.Member {
	members := make([]fleet.Member, n)
	for i := range members {
		members[i] = fleet.Member{Incarnation: granitehoist.Incarnation(fmt.Sprint("i", i)), Region: "tuul"}
	}
	return members
}

var _ = Describe("View", func() {
	It("returns the same holder for any order of members", func() {
		a, b := members(9), members(9)
		b[0], b[8] = b[8], b[0]
		for role := range 100 {
			first, ok := fleet.NewView(a).RoleHolder("tuul", fmt.Sprint(role))
			Expect(ok).To(BeTrue())
			second, _ := fleet.NewView(b).RoleHolder("tuul", fmt.Sprint(role))
			Expect(second).To(Equal(first))
		}
	})

	It("distributes roles over the members of the region that are not leaving", func() {
		all := members(5)
		all[0].Leaving = true
		all[1].Region = "lima"
		count := map[granitehoist.Incarnation]int{}
		for role := range 300 {
			m, _ := fleet.NewView(all).RoleHolder("tuul", fmt.Sprint(role))
			count[m.Incarnation]++
		}
		Expect(count).To(HaveLen(3))
		_, ok := fleet.NewView(nil).RoleHolder("tuul", "x")
		Expect(ok).To(BeFalse())
	})
})

// slowLeases is a store that grants leases after a delay and counts the grants.
type slowLeases struct {
	granitehoist.Store
	grants atomic.Int32
}

// GrantLease implements granitehoist.Store.
func (s *slowLeases) GrantLease(ctx context.Context, ttl time.Duration) (granitehoist.LeaseID, error) {
	s.grants.Add(1)
	time.Sleep(200 * time.Millisecond)
	return s.Store.GrantLease(ctx, ttl)
}

var _ = Describe("Registry", func() {
	var now time.Time
	var store *standin.Store
	BeforeEach(func() {
		now = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
		store = standin.NewStore(standin.StoreSettings{Clock: func() time.Time { return now }})
	})
	newRegistry := func(id granitehoist.Incarnation) *fleet.Registry {
		return fleet.NewRegistry(fleet.RegistrySettings{Self: fleet.Member{Incarnation: id, Region: "tuul", Box: granitehoist.Box(id)}, Store: store})
	}

	It("includes other members until their leases expire", func() {
		a, b := newRegistry("a"), newRegistry("b")
		Expect(a.Refresh(ctx)).To(Succeed())
		Expect(b.Refresh(ctx)).To(Succeed())
		Expect(b.View().Members()).To(HaveLen(2))
		now = now.Add(fleet.DefaultTTL + time.Second)
		Expect(b.Refresh(ctx)).To(Succeed())
		Expect(b.View().Members()).To(HaveLen(1))
		Expect(a.Refresh(ctx)).To(Succeed(), "a router whose lease has expired writes its entry again")
		Expect(a.View().Members()).To(HaveLen(2))
	})

	It("keeps its view while the store is unavailable", func() {
		a, b := newRegistry("a"), newRegistry("b")
		Expect(a.Refresh(ctx)).To(Succeed())
		Expect(b.Refresh(ctx)).To(Succeed())
		store.Fail(standin.StoreFaults{Down: true})
		Expect(b.Refresh(ctx)).NotTo(Succeed())
		Expect(b.View().Members()).To(HaveLen(2))
	})

	It("is granted one lease by two concurrent refreshes", func() {
		slow := &slowLeases{Store: store}
		r := fleet.NewRegistry(fleet.RegistrySettings{Self: fleet.Member{Incarnation: "a", Region: "tuul", Box: "a"}, Store: slow})
		var refreshes sync.WaitGroup
		for range 2 {
			refreshes.Go(func() {
				defer GinkgoRecover()
				Expect(r.Refresh(ctx)).To(Succeed())
			})
		}
		refreshes.Wait()
		Expect(slow.grants.Load()).To(BeEquivalentTo(1))
	})

	It("stops waiting for a concurrent refresh when the context is cancelled", func() {
		slow := &slowLeases{Store: store}
		r := fleet.NewRegistry(fleet.RegistrySettings{Self: fleet.Member{Incarnation: "a", Region: "tuul", Box: "a"}, Store: slow})
		var refreshes sync.WaitGroup
		refreshes.Go(func() {
			defer GinkgoRecover()
			Expect(r.Refresh(ctx)).To(Succeed())
		})
		Eventually(slow.grants.Load).Should(BeEquivalentTo(1))
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		Expect(r.Refresh(cancelled)).To(MatchError(context.Canceled))
		refreshes.Wait()
	})

	It("marks itself as leaving and removes its entries although responses are lost", func() {
		store.Fail(standin.StoreFaults{LoseEvery: 2})
		a, b := newRegistry("a"), newRegistry("b")
		Eventually(func() error { return a.Refresh(ctx) }).Should(Succeed())
		a.Leave()
		Eventually(func() error { return a.Refresh(ctx) }).Should(Succeed())
		Eventually(func() error { return b.Refresh(ctx) }).Should(Succeed())
		Expect(b.View().InRegion("tuul")[0].Leaving).To(BeTrue())
		Expect(a.Remove(ctx)).To(Succeed())
		Expect(b.Refresh(ctx)).To(Succeed())
		Expect(b.View().Members()).To(HaveLen(1))
	})
})
