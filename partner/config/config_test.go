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

const validDocument = `partner = "tuul"
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

// signer signs documents with a new key of a partner.
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
	It("reads a valid document", func() {
		d, err := config.Parse("f", []byte(validDocument))
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Budgets[0].Tokens).To(Equal(granitehoist.Tokens(1000)))
	})

	DescribeTable("reports the file, line and key of a fault, with a remedy",
		func(old, changed, want string) {
			Expect(validDocument).To(ContainSubstring(old))
			_, err := config.Parse("f.toml", []byte(strings.Replace(validDocument, old, changed, 1)))
			Expect(err).To(HaveOccurred())
			Expect(err.Error()).To(ContainSubstring(want))
			Expect(err.Error()).To(ContainSubstring("; "), "the fault has a remedy")
		},
		Entry("unknown key", `tokens = 1000`, "tokens = 1000\ntokes = 1", "f.toml:18: budget.tokes: no such key"),
		Entry("wrong type", `tokens = 1000`, `tokens = "many"`, "f.toml:17: "),
		Entry("invalid TOML", `[[workspace]]`, `[[workspace`, "f.toml:"),
		Entry("negative tokens", `tokens = 1000`, `tokens = -1`, "f.toml:17: budget[0].tokens"),
		Entry("tokens above the maximum", `tokens = 1000`, `tokens = 9000000000000000000`, "f.toml:17: budget[0].tokens"),
		Entry("unknown kind", `kind = "engine"`, `kind = "motor"`, "f.toml:4: service[0].kind"),
		Entry("default above maximum", `default_output = 50`, `default_output = 500`, "service[0].default_output"),
		Entry("address that is not a URL", `address = "http://127.0.0.1:1"`, `address = "here"`, "f.toml:11: upstream[0].address"),
		Entry("unknown service of an upstream", `service = "pool"`, `service = "lake"`, "f.toml:10: upstream[0].service"),
		Entry("unknown workspace of a budget", "[[budget]]\nworkspace = \"kiosk\"", "[[budget]]\nworkspace = \"desk\"", "budget[0].workspace"),
		Entry("invalid hash of a key", `sha256 = "00`, `sha256 = "zz`, "key[0].sha256"),
		Entry("policy that does not compile", `permit = "true"`, `permit = "workspace =="`, "f.toml:25: policy[0].permit"),
		Entry("policy program of the wrong type", `permit = "true"`, `permit = "1"`, "policy[0].permit"),
		Entry("unknown use", `use = "own"`, `use = "all"`, "policy[0].use"),
		Entry("invalid name", `name = "kiosk"`, `name = "Kiosk 1"`, "workspace[0].name"),
	)

	It("reports all faults at once", func() {
		faulty := strings.NewReplacer(`kind = "engine"`, `kind = "motor"`, `tokens = 1000`, `tokens = -1`, `use = "own"`, `use = "all"`).Replace(validDocument)
		_, err := config.Parse("f", []byte(faulty))
		Expect(err.(tomlfile.Faults)).To(HaveLen(3))
	})
})

var _ = Describe("View", func() {
	It("ignores documents that are not newer", func() {
		d, _ := config.Parse("f", []byte(validDocument))
		v := config.NewView().With(d, 5)
		Expect(v.With(d, 4)).To(BeIdenticalTo(v))
		Expect(v.With(d, 5)).To(BeIdenticalTo(v))
		Expect(v.With(d, 6).Serial("tuul")).To(Equal(granitehoist.Serial(6)))
	})

	It("applies the policies of both partners to lent capacity", func() {
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
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.PolicyDenied), "tuul has no policy for lending")
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
		var runCtx context.Context
		runCtx, cancel = context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			follower.Run(runCtx)
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

	It("are put in force", func() {
		_, err := config.Apply(ctx, store, trust, tuul.sign(validDocument, 1, "c1", ""))
		Expect(err).NotTo(HaveOccurred())
		Eventually(serial).Should(Equal(granitehoist.Serial(1)))
	})

	It("are never replaced by older ones", func() {
		write("config/tuul", tuul.sign(validDocument, 2, "c2", "c1"))
		Eventually(serial).Should(Equal(granitehoist.Serial(2)))
		write("config/tuul", tuul.sign(validDocument, 1, "c1", ""))
		write("config/tuul", tuul.sign(validDocument, 3, "c3", "c2"))
		Eventually(serial).Should(Equal(granitehoist.Serial(3)))
	})

	DescribeTable("leave the last valid one in force",
		func(invalid func() []byte, code granitehoist.Code) {
			write("config/tuul", tuul.sign(validDocument, 1, "c1", ""))
			Eventually(serial).Should(Equal(granitehoist.Serial(1)))
			write("config/tuul", invalid())
			var err error
			Eventually(failed).Should(Receive(&err))
			Expect(granitehoist.CodeOf(err)).To(Equal(code), err.Error())
			Expect(serial()).To(Equal(granitehoist.Serial(1)))
		},
		Entry("when one can't be decoded", func() []byte { return []byte("{") }, granitehoist.DocumentBad),
		Entry("when one has faults", func() []byte { return tuul.sign(`partner = "tuul"`+"\nx = 1", 2, "c", "c1") }, granitehoist.DocumentBad),
		Entry("when one is signed by another partner", func() []byte {
			forged := lima
			forged.partner = "tuul"
			return forged.sign(validDocument, 2, "c", "c1")
		}, granitehoist.NotAuthorised),
		Entry("when one was changed after signing", func() []byte {
			return []byte(strings.Replace(string(tuul.sign(validDocument, 2, "c", "c1")), "tokens = 1000", "tokens = 9000", 1))
		}, granitehoist.NotAuthorised),
		Entry("when one is stored under another partner's key", func() []byte { return lima.sign(strings.Replace(validDocument, "tuul", "lima", 1), 2, "c", "c1") }, granitehoist.NotAuthorised),
	)

	It("are followed again after a store outage", func() {
		store.Fail(standin.StoreFaults{Down: true})
		Eventually(failed).Should(Receive())
		store.Fail(standin.StoreFaults{})
		write("config/tuul", tuul.sign(validDocument, 1, "c1", ""))
		Eventually(serial).Should(Equal(granitehoist.Serial(1)))
	})

	Describe("Apply", func() {
		It("rejects a document that its partner did not sign", func() {
			forged := lima
			forged.partner = "tuul"
			_, err := config.Apply(ctx, store, trust, forged.sign(validDocument, 1, "c1", ""))
			Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.NotAuthorised))
		})

		It("returns a conflict to the second of two concurrent operators", func() {
			_, err := config.Apply(ctx, store, trust, tuul.sign(validDocument, 1, "c1", ""))
			Expect(err).NotTo(HaveOccurred())
			_, err = config.Apply(ctx, store, trust, tuul.sign(validDocument, 1, "c2", ""))
			Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.DocumentConflict))
		})

		It("is idempotent", func() {
			raw := tuul.sign(validDocument, 1, "c1", "")
			for range 2 {
				_, err := config.Apply(ctx, store, trust, raw)
				Expect(err).NotTo(HaveOccurred())
			}
		})

		DescribeTable("reports the outcome of a write to a faulty store",
			func(faults standin.StoreFaults, code granitehoist.Code) {
				store.Fail(faults)
				_, err := config.Apply(ctx, store, trust, tuul.sign(validDocument, 1, "c1", ""))
				Expect(granitehoist.CodeOf(err)).To(Equal(code))
			},
			Entry("response lost", standin.StoreFaults{LoseEvery: 1}, granitehoist.Served),
			Entry("write lost", standin.StoreFaults{DropEvery: 1}, granitehoist.DocumentUnsettled),
			Entry("store down", standin.StoreFaults{Down: true}, granitehoist.StoreDown),
		)

		DescribeTable("reads back a write whose response was lost",
			func(faults faultyStore, code granitehoist.Code, reads int) {
				faults.Store = store
				_, err := config.Apply(ctx, &faults, trust, tuul.sign(validDocument, 1, "c1", ""))
				Expect(granitehoist.CodeOf(err)).To(Equal(code))
				Expect(faults.reads).To(Equal(reads))
			},
			Entry("once if the read succeeds", faultyStore{}, granitehoist.Served, 1),
			Entry("once if the read shows that nothing was written", faultyStore{dropWrite: true}, granitehoist.DocumentUnsettled, 1),
			Entry("again if the read failed", faultyStore{failReads: 4}, granitehoist.Served, 5),
			Entry("no more than five times", faultyStore{failReads: 5}, granitehoist.DocumentUnsettled, 5),
		)

		It("lets exactly one of many concurrent writers succeed per serial", func() {
			results := make(chan error, 20)
			for i := range cap(results) {
				go func() {
					_, err := config.Apply(ctx, store, trust, tuul.sign(validDocument, 1, fmt.Sprint("c", i), ""))
					results <- err
				}()
			}
			succeeded := 0
			for range cap(results) {
				if err := <-results; err == nil {
					succeeded++
				}
			}
			Expect(succeeded).To(Equal(1))
		})
	})
})
