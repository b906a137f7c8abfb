// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config_test

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/tomlfile"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/policy"
	"granitehoist.example/granitehoist/standin"
)

var ctx = context.Background()

const sound = `partner = "tuul"
[[service]]
name = "pool"
kind = "engine"
models = ["m"]
max_output = 100
default_output = 50
[[upstream]]
name = "p1"
service = "pool"
address = "http://127.0.0.1:1"
[[workspace]]
name = "kiosk"
[[budget]]
workspace = "kiosk"
name = "season"
tokens = 1000
[[key]]
workspace = "kiosk"
budget = "season"
sha256 = "0000000000000000000000000000000000000000000000000000000000000000"
[[policy]]
name = "p"
use = "own"
permit = "true"
`

// signer signs documents of a partner.
type signer struct {
	partner granitehoist.Partner
	key     ed25519.PrivateKey
	trust   config.Trust
}

func newSigner(p granitehoist.Partner) signer {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	return signer{p, private, config.Trust{p: {public}}}
}

func (s signer) sign(text string, serial granitehoist.Serial, change, previous string) []byte {
	signed := config.Signed{Partner: s.partner, Text: text, Serial: serial, ChangeID: change, Previous: previous}
	signed.Sign(s.key)
	raw, err := json.Marshal(signed)
	Expect(err).NotTo(HaveOccurred())
	return raw
}

var _ = Describe("Parse", func() {
	It("reads a sound document", func() {
		d, err := config.Parse("f", []byte(sound))
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Budgets[0].Tokens).To(Equal(granitehoist.Tokens(1000)))
	})

	DescribeTable("tells file, line, key and remedy",
		func(old, changed, want string) {
			Expect(sound).To(ContainSubstring(old))
			_, err := config.Parse("f.toml", []byte(strings.Replace(sound, old, changed, 1)))
			Expect(err).To(HaveOccurred())
			Expect(err.Error()).To(ContainSubstring(want))
			Expect(err.Error()).To(ContainSubstring("; "), "a remedy")
		},
		Entry("unknown key", `tokens = 1000`, "tokens = 1000\ntokes = 1", "f.toml:18: budget.tokes: no such key"),
		Entry("wrong type", `tokens = 1000`, `tokens = "many"`, "f.toml:17: "),
		Entry("no TOML", `[[workspace]]`, `[[workspace`, "f.toml:"),
		Entry("negative tokens", `tokens = 1000`, `tokens = -1`, "f.toml:17: budget[0].tokens"),
		Entry("absurd tokens", `tokens = 1000`, `tokens = 9000000000000000000`, "f.toml:17: budget[0].tokens"),
		Entry("unknown kind", `kind = "engine"`, `kind = "motor"`, "f.toml:4: service[0].kind"),
		Entry("default above maximum", `default_output = 50`, `default_output = 500`, "service[0].default_output"),
		Entry("address", `address = "http://127.0.0.1:1"`, `address = "here"`, "f.toml:11: upstream[0].address"),
		Entry("service of an upstream", `service = "pool"`, `service = "lake"`, "f.toml:10: upstream[0].service"),
		Entry("workspace of a budget", "[[budget]]\nworkspace = \"kiosk\"", "[[budget]]\nworkspace = \"desk\"", "budget[0].workspace"),
		Entry("hash", `sha256 = "00`, `sha256 = "zz`, "key[0].sha256"),
		Entry("policy that does not compile", `permit = "true"`, `permit = "workspace =="`, "f.toml:25: policy[0].permit"),
		Entry("policy of a wrong type", `permit = "true"`, `permit = "1"`, "policy[0].permit"),
		Entry("use", `use = "own"`, `use = "all"`, "policy[0].use"),
		Entry("name", `name = "kiosk"`, `name = "Kiosk 1"`, "workspace[0].name"),
	)

	It("tells all faults at once", func() {
		broken := strings.NewReplacer(`kind = "engine"`, `kind = "motor"`, `tokens = 1000`, `tokens = -1`, `use = "own"`, `use = "all"`).Replace(sound)
		_, err := config.Parse("f", []byte(broken))
		Expect(err.(tomlfile.Faults)).To(HaveLen(3))
	})
})

var _ = Describe("View", func() {
	It("takes newer documents only", func() {
		d, _ := config.Parse("f", []byte(sound))
		v := config.NewView().With(d, 5)
		Expect(v.With(d, 4)).To(BeIdenticalTo(v))
		Expect(v.With(d, 5)).To(BeIdenticalTo(v))
		Expect(v.With(d, 6).Serial("tuul")).To(Equal(granitehoist.Serial(6)))
	})

	It("asks both partners' policies on lent capacity", func() {
		tuul := &config.Document{Partner: "tuul", Policies: []config.Policy{{Name: "own", Use: config.UseOwn, Permit: "true", Priority: "8"}}}
		lima := &config.Document{Partner: "lima", Policies: []config.Policy{{Name: "lend", Use: config.UseLend, Permit: `workspace == "kiosk"`, Priority: "3"}}}
		v := config.NewView().With(tuul, 1).With(lima, 1)
		priority, err := v.Decide(policy.Request{Partner: "tuul", Owner: "tuul", Workspace: "club"})
		Expect(err).NotTo(HaveOccurred())
		Expect(priority).To(Equal(granitehoist.Priority(8)))
		priority, err = v.Decide(policy.Request{Partner: "tuul", Owner: "lima", Workspace: "kiosk"})
		Expect(err).NotTo(HaveOccurred())
		Expect(priority).To(Equal(granitehoist.Priority(3)))
		_, err = v.Decide(policy.Request{Partner: "tuul", Owner: "lima", Workspace: "club"})
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.PolicyDenied))
		_, err = v.Decide(policy.Request{Partner: "lima", Owner: "tuul", Workspace: "kiosk"})
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.PolicyDenied), "tuul lends to nobody")
	})
})

var _ = Describe("Documents in the store", func() {
	var store *standin.Store
	var tuul, lima signer
	var trust config.Trust
	var follower *config.Follower
	var failed chan error
	var cancel context.CancelFunc
	BeforeEach(func() {
		store = standin.NewStore(standin.StoreSettings{Watch: 20 * time.Millisecond})
		tuul, lima = newSigner("tuul"), newSigner("lima")
		trust = config.Trust{"tuul": tuul.trust["tuul"], "lima": lima.trust["lima"]}
		failed = make(chan error, 100)
		follower = config.NewFollower(config.FollowerSettings{Store: store, Trust: trust, Pause: time.Millisecond, Failed: func(err error) {
			select {
			case failed <- err:
			default:
			}
		}})
		var running context.Context
		running, cancel = context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			follower.Run(running)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
	})

	write := func(key string, raw []byte) {
		GinkgoHelper()
		e, err := store.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.CompareAndSwap(ctx, granitehoist.Change{Key: key, Value: raw, Expect: e.Version})
		Expect(err).NotTo(HaveOccurred())
	}
	serial := func() granitehoist.Serial { return follower.View().Serial("tuul") }

	It("come into force", func() {
		_, err := config.Apply(ctx, store, trust, tuul.sign(sound, 1, "c1", ""))
		Expect(err).NotTo(HaveOccurred())
		Eventually(serial).Should(Equal(granitehoist.Serial(1)))
	})

	It("never go back to an older one", func() {
		write("config/tuul", tuul.sign(sound, 2, "c2", "c1"))
		Eventually(serial).Should(Equal(granitehoist.Serial(2)))
		write("config/tuul", tuul.sign(sound, 1, "c1", ""))
		write("config/tuul", tuul.sign(sound, 3, "c3", "c2"))
		Eventually(serial).Should(Equal(granitehoist.Serial(3)))
	})

	DescribeTable("leave the last good one in force",
		func(bad func() []byte, code granitehoist.Code) {
			write("config/tuul", tuul.sign(sound, 1, "c1", ""))
			Eventually(serial).Should(Equal(granitehoist.Serial(1)))
			write("config/tuul", bad())
			var err error
			Eventually(failed).Should(Receive(&err))
			Expect(granitehoist.CodeOf(err)).To(Equal(code), err.Error())
			Expect(serial()).To(Equal(granitehoist.Serial(1)))
		},
		Entry("when one can't be read", func() []byte { return []byte("{") }, granitehoist.DocumentBad),
		Entry("when one has faults", func() []byte { return tuul.sign(`partner = "tuul"`+"\nx = 1", 2, "c", "c1") }, granitehoist.DocumentBad),
		Entry("when the other partner signed it", func() []byte {
			forged := lima
			forged.partner = "tuul"
			return forged.sign(sound, 2, "c", "c1")
		}, granitehoist.NotAuthorised),
		Entry("when it was changed after signing", func() []byte {
			return []byte(strings.Replace(string(tuul.sign(sound, 2, "c", "c1")), "tokens = 1000", "tokens = 9000", 1))
		}, granitehoist.NotAuthorised),
		Entry("when it stands under the other's key", func() []byte { return lima.sign(strings.Replace(sound, "tuul", "lima", 1), 2, "c", "c1") }, granitehoist.NotAuthorised),
	)

	It("go on being followed after the store was away", func() {
		store.Fail(standin.StoreFaults{Down: true})
		Eventually(failed).Should(Receive())
		store.Fail(standin.StoreFaults{})
		write("config/tuul", tuul.sign(sound, 1, "c1", ""))
		Eventually(serial).Should(Equal(granitehoist.Serial(1)))
	})

	Describe("Apply", func() {
		It("refuses what the partner did not sign", func() {
			forged := lima
			forged.partner = "tuul"
			_, err := config.Apply(ctx, store, trust, forged.sign(sound, 1, "c1", ""))
			Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.NotAuthorised))
		})

		It("tells the second of two racing operators of the conflict", func() {
			_, err := config.Apply(ctx, store, trust, tuul.sign(sound, 1, "c1", ""))
			Expect(err).NotTo(HaveOccurred())
			_, err = config.Apply(ctx, store, trust, tuul.sign(sound, 1, "c2", ""))
			Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.DocumentConflict))
		})

		It("takes the same document twice as one", func() {
			raw := tuul.sign(sound, 1, "c1", "")
			for range 2 {
				_, err := config.Apply(ctx, store, trust, raw)
				Expect(err).NotTo(HaveOccurred())
			}
		})

		DescribeTable("settles what the store does",
			func(faults standin.StoreFaults, code granitehoist.Code) {
				store.Fail(faults)
				_, err := config.Apply(ctx, store, trust, tuul.sign(sound, 1, "c1", ""))
				Expect(granitehoist.CodeOf(err)).To(Equal(code))
			},
			Entry("answer lost", standin.StoreFaults{LoseEvery: 1}, granitehoist.Served),
			Entry("write lost", standin.StoreFaults{DropEvery: 1}, granitehoist.DocumentUnsettled),
			Entry("down", standin.StoreFaults{Down: true}, granitehoist.StoreDown),
		)

		DescribeTable("reads back a write whose answer was lost",
			func(faults readFaults, code granitehoist.Code, reads int) {
				faults.Store = store
				_, err := config.Apply(ctx, &faults, trust, tuul.sign(sound, 1, "c1", ""))
				Expect(granitehoist.CodeOf(err)).To(Equal(code))
				Expect(faults.reads).To(Equal(reads))
			},
			Entry("once if the read succeeds", readFaults{}, granitehoist.Served, 1),
			Entry("once if the read shows that nothing was written", readFaults{dropWrite: true}, granitehoist.DocumentUnsettled, 1),
			Entry("again if the read failed", readFaults{fails: 4}, granitehoist.Served, 5),
			Entry("no more than five times", readFaults{fails: 5}, granitehoist.DocumentUnsettled, 5),
		)

		It("lets exactly one of many racing operators win each serial", func() {
			results := make(chan error, 20)
			for i := range cap(results) {
				go func() {
					_, err := config.Apply(ctx, store, trust, tuul.sign(sound, 1, fmt.Sprint("c", i), ""))
					results <- err
				}()
			}
			won := 0
			for range cap(results) {
				if err := <-results; err == nil {
					won++
				}
			}
			Expect(won).To(Equal(1))
		})
	})
})
