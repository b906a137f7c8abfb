// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package once_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/once"
	"granitehoist.example/granitehoist/standin"
)

var (
	ctx = context.Background()
	now = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	key = once.RequestKey{Partner: "lima", Workspace: "drivers", Request: "start-1"}
)

// input and output are one call of Bind in the history that porcupine checks.
type input struct{ request int }

type output struct {
	ran     bool
	unknown bool
}

// atMostOnce is the sequential model: only the first attempt of a request runs.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byRequest := map[int][]porcupine.Operation{}
		for _, op := range history {
			request := op.Input.(input).request
			byRequest[request] = append(byRequest[request], op)
		}
		parts := make([][]porcupine.Operation, 0, len(byRequest))
		for _, part := range byRequest {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return false },
	Step: func(state, _, out any) (bool, any) {
		ran := state.(bool)
		o := out.(output)
		switch {
		case o.unknown:
			return true, ran
		case o.ran:
			return !ran, true
		}
		return ran, ran
	},
}

var _ = Describe("Registry", func() {
	var store *standin.Store
	var registry *once.Registry
	BeforeEach(func() {
		store = standin.NewStore(standin.StoreSettings{})
		registry = once.New(once.Settings{Store: store})
	})

	bind := func(attempt granitehoist.AttemptID) (*once.Binding, granitehoist.Code) {
		b, err := registry.Bind(ctx, key, attempt, now)
		return b, granitehoist.CodeOf(err)
	}

	It("binds a request to one attempt", func() {
		_, code := bind("a")
		Expect(code).To(Equal(granitehoist.Served))
		_, code = bind("b")
		Expect(code).To(Equal(granitehoist.OnceUnsure))
	})

	It("reports a finished request as already run", func() {
		b, _ := bind("a")
		Expect(b.Finish(ctx, 201, now)).To(Succeed())
		_, err := registry.Bind(ctx, key, "b", now)
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.AlreadyRun))
		Expect(err.Error()).To(ContainSubstring("201"))
	})

	It("binds again after a release", func() {
		b, _ := bind("a")
		Expect(b.Release(ctx, now)).To(Succeed())
		_, code := bind("b")
		Expect(code).To(Equal(granitehoist.Served))
		Expect(b.Finish(ctx, 200, now)).NotTo(Succeed(), "a released binding can't be finished")
	})

	It("binds the same request id separately in each workspace", func() {
		_, code := bind("a")
		Expect(code).To(Equal(granitehoist.Served))
		other := key
		other.Workspace = "dispatch"
		_, err := registry.Bind(ctx, other, "b", now)
		Expect(err).NotTo(HaveOccurred())
	})

	DescribeTable("returns the code for a store fault",
		func(faults standin.StoreFaults, code granitehoist.Code) {
			store.Fail(faults)
			_, got := bind("a")
			Expect(got).To(Equal(code))
		},
		Entry("down", standin.StoreFaults{Down: true}, granitehoist.OnceUnavailable),
		Entry("no response", standin.StoreFaults{Hang: true}, granitehoist.OnceUnavailable),
		Entry("the reply to the write is lost", standin.StoreFaults{LoseEvery: 1}, granitehoist.Served),
		Entry("the write is dropped", standin.StoreFaults{DropEvery: 1}, granitehoist.OnceUnavailable),
	)

	It("returns OnceUnsure for a record that it can't decode", func() {
		_, err := store.CompareAndSwap(ctx, granitehoist.Change{Key: bindAndGetKey(store, registry), Value: []byte("?")})
		Expect(err).To(MatchError(granitehoist.ErrConflict))
		entries, _, _ := store.List(ctx, once.KeyPrefix)
		_, err = store.CompareAndSwap(ctx, granitehoist.Change{Key: entries[0].Key, Value: []byte("?"), Expect: entries[0].Version})
		Expect(err).NotTo(HaveOccurred())
		_, code := bind("b")
		Expect(code).To(Equal(granitehoist.OnceUnsure))
	})

	It("binds a request at most once among concurrent routers under store faults", func() {
		for seed := range uint64(30) {
			history := bindConcurrently(seed)
			Expect(porcupine.CheckOperations(atMostOnce, history)).To(BeTrue(), fmt.Sprintf("seed %d", seed))
		}
	})

	It("uses a model that rejects a request run twice", func() {
		twice := []porcupine.Operation{
			{ClientId: 0, Input: input{0}, Output: output{ran: true}, Call: 0, Return: 1},
			{ClientId: 1, Input: input{0}, Output: output{ran: true}, Call: 2, Return: 3},
		}
		Expect(porcupine.CheckOperations(atMostOnce, twice)).To(BeFalse())
	})
})

// bindAndGetKey binds the request key and returns the key of its record.
func bindAndGetKey(s *standin.Store, r *once.Registry) string {
	_, err := r.Bind(ctx, key, "a", now)
	Expect(err).NotTo(HaveOccurred())
	entries, _, err := s.List(ctx, once.KeyPrefix)
	Expect(err).NotTo(HaveOccurred())
	return entries[0].Key
}

const (
	clients        = 6
	requests       = 4
	bindsPerClient = 12
)

// bindConcurrently binds the same requests from several registries at once while the
// store drops writes, loses replies and fails calls. It returns the history of calls.
func bindConcurrently(seed uint64) []porcupine.Operation {
	store := standin.NewStore(standin.StoreSettings{})
	var mu sync.Mutex
	var history []porcupine.Operation
	begin := time.Now()
	var group sync.WaitGroup
	for client := range clients {
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		registry := once.New(once.Settings{Store: store})
		group.Go(func() {
			for try := range bindsPerClient {
				if client == 0 {
					store.Fail(standin.StoreFaults{LoseEvery: random.IntN(4), DropEvery: random.IntN(4), Down: random.IntN(8) == 0})
				}
				request := random.IntN(requests)
				s := key
				s.Request = granitehoist.RequestID(fmt.Sprint(request))
				called := time.Since(begin).Nanoseconds()
				_, err := registry.Bind(ctx, s, granitehoist.AttemptID(fmt.Sprintf("%d.%d", client, try)), now)
				op := porcupine.Operation{ClientId: client, Input: input{request}, Output: outputOf(err), Call: called, Return: time.Since(begin).Nanoseconds()}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return history
}

// outputOf maps the error of Bind. An error tells nothing about whether the request
// ran: the record may belong to a router that got OnceUnavailable and didn't send.
func outputOf(err error) output {
	return output{ran: err == nil, unknown: err != nil}
}
