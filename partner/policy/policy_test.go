// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package policy_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/policy"
)

func mustNew(s policy.Source) *policy.Policy {
	GinkgoHelper()
	p, err := policy.New(s)
	Expect(err).NotTo(HaveOccurred())
	return p
}

var _ = Describe("Policy", func() {
	noon := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	req := policy.Request{Workspace: "kiosk", Service: "granite-pool", Model: "granite-8b", Partner: "tuul", Owner: "tuul", Zone: "gachuurt", Priority: 5, PromptSize: 100, MaxOutput: 64, Budget: "season", Time: noon}

	DescribeTable("evaluates permit over every variable",
		func(permit string, want bool) {
			d, err := mustNew(policy.Source{Name: "p", Permit: permit}).Decide(req)
			Expect(err).NotTo(HaveOccurred())
			Expect(d.Permit).To(Equal(want))
		},
		Entry("workspace", `workspace == "kiosk"`, true),
		Entry("service", `service.startsWith("granite")`, true),
		Entry("model", `model == "other"`, false),
		Entry("partner and owner", `partner == owner`, true),
		Entry("availability zone", `place in ["gachuurt", "ate"]`, true),
		Entry("hour", `hour >= 8 && hour < 20`, true),
		Entry("weekday", `weekday == 3`, true),
		Entry("prompt size", `prompt_size <= 99`, false),
		Entry("maximum output", `max_output <= 64`, true),
		Entry("budget", `budget == "season"`, true),
	)

	DescribeTable("clamps the priority",
		func(program string, want granitehoist.Priority) {
			d, err := mustNew(policy.Source{Name: "p", Permit: "true", Priority: program}).Decide(req)
			Expect(err).NotTo(HaveOccurred())
			Expect(d.Priority).To(Equal(want))
		},
		Entry("the request's own by default", "", granitehoist.Priority(5)),
		Entry("too high", "100", granitehoist.MaxPriority),
		Entry("too low", "-1", granitehoist.MinPriority),
	)

	DescribeTable("is rejected with the name of the invalid program",
		func(s policy.Source, program string) {
			_, err := policy.New(s)
			var fault *policy.ProgramError
			Expect(err).To(BeAssignableToTypeOf(fault))
			Expect(err.(*policy.ProgramError).Program).To(Equal(program))
		},
		Entry("empty", policy.Source{}, "permit"),
		Entry("syntax", policy.Source{Permit: "workspace =="}, "permit"),
		Entry("unknown variable", policy.Source{Permit: "nobody == 1"}, "permit"),
		Entry("wrong type", policy.Source{Permit: "1"}, "permit"),
		Entry("wrong type of priority", policy.Source{Permit: "true", Priority: "true"}, "priority"),
		Entry("too long", policy.Source{Permit: strings.Repeat(" ", policy.MaxProgramSize) + "true"}, "permit"),
	)

	It("returns PolicyFailed when a program exceeds the cost limit", func() {
		costly := `[1,2,3,4,5,6,7,8,9,10].all(a, [1,2,3,4,5,6,7,8,9,10].all(b, [1,2,3,4,5,6,7,8,9,10].all(c, [1,2,3,4,5,6,7,8,9,10].all(d, a+b+c+d > 0 && workspace != ""))))`
		_, err := mustNew(policy.Source{Name: "heavy", Permit: costly}).Decide(req)
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.PolicyFailed))
	})

	It("returns PolicyFailed when a program fails", func() {
		_, err := mustNew(policy.Source{Name: "p", Permit: "prompt_size / (hour - 12) > 0"}).Decide(req)
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.PolicyFailed))
	})

	Describe("Set", func() {
		It("denies when it is empty", func() {
			_, err := policy.Set{}.Decide(req)
			Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.PolicyDenied))
		})

		It("denies if one policy denies, and otherwise yields the lowest priority", func() {
			high := mustNew(policy.Source{Name: "high", Permit: "true", Priority: "8"})
			low := mustNew(policy.Source{Name: "low", Permit: "true", Priority: "2"})
			denying := mustNew(policy.Source{Name: "no", Permit: "false"})
			priority, err := policy.Set{high, low}.Decide(req)
			Expect(err).NotTo(HaveOccurred())
			Expect(priority).To(Equal(granitehoist.Priority(2)))
			_, err = policy.Set{high, denying}.Decide(req)
			Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.PolicyDenied))
		})
	})
})
