// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package trial_test

import (
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/trial"
)

const (
	judged       = granitehoist.RequestID("trial-000000")
	judgedBudget = granitehoist.BudgetID("tuul/kiosk/season")
)

// evidence returns that of one request not to be repeated, which was executed
// and charged once and answered.
func evidence() trial.Evidence {
	return trial.Evidence{
		Outcomes: []*trial.Outcome{{
			ID: judged, Budget: judgedBudget, Cost: 3, Once: true,
			Code: granitehoist.Served, Fates: []granitehoist.Fate{granitehoist.Ran},
			Answered: true, Correct: true,
		}},
		Books:   map[granitehoist.RequestID]trial.Executions{judged: {Runs: 1, Tokens: 3}},
		Charges: []bill.Charge{{Request: judged, Tokens: 3, Attempts: []granitehoist.AttemptID{"box.1"}}},
		Prepaid: map[granitehoist.BudgetID]granitehoist.Tokens{judgedBudget: 100},
	}
}

var _ = Describe("Judge", func() {
	It("holds for a request that was executed, charged and answered once", func() {
		v := trial.Judge(evidence())
		Expect(v).To(Equal(trial.Verdict{Requests: 1, Served: 1, Billed: 1}))
		Expect(v.Held()).To(BeTrue())
	})

	DescribeTable("finds a promise broken by",
		func(plant func(e *trial.Evidence, o *trial.Outcome), found func(v trial.Verdict) int) {
			e := evidence()
			plant(&e, e.Outcomes[0])
			v := trial.Judge(e)
			Expect(v.Held()).To(BeFalse(), v.String())
			Expect(found(v)).To(BeNumerically(">", 0), v.String())
		},
		Entry("a second execution of a request not to be repeated", func(e *trial.Evidence, _ *trial.Outcome) {
			e.Books[judged] = trial.Executions{Runs: 2, Tokens: 6}
		}, func(v trial.Verdict) int { return v.Doubled }),
		Entry("an attempt that is charged twice", func(e *trial.Evidence, _ *trial.Outcome) {
			e.Charges = append(e.Charges, e.Charges[0])
		}, func(v trial.Verdict) int { return v.Doubled }),
		Entry("an execution without a charge", func(e *trial.Evidence, _ *trial.Outcome) {
			e.Charges = nil
		}, func(v trial.Verdict) int { return v.Lost }),
		Entry("a charge of another amount", func(e *trial.Evidence, _ *trial.Outcome) {
			e.Charges[0].Tokens = 4
		}, func(v trial.Verdict) int { return v.Lost }),
		Entry("a charge without an execution", func(e *trial.Evidence, _ *trial.Outcome) {
			delete(e.Books, judged)
		}, func(v trial.Verdict) int { return v.Lost }),
		Entry("a caller without an answer", func(_ *trial.Evidence, o *trial.Outcome) {
			o.Failed = errors.New("connection reset")
		}, func(v trial.Verdict) int { return v.Lost }),
		Entry("an answer of another request", func(_ *trial.Evidence, o *trial.Outcome) {
			o.Correct = false
		}, func(v trial.Verdict) int { return v.Crossed }),
		Entry("an execution of a request that was answered as not run", func(_ *trial.Evidence, o *trial.Outcome) {
			o.Code, o.Answered = granitehoist.UpstreamRefused, false
			o.Fates = []granitehoist.Fate{granitehoist.NotRun}
		}, func(v trial.Verdict) int { return v.Untrue }),
		Entry("spending beyond what was prepaid", func(e *trial.Evidence, _ *trial.Outcome) {
			e.Prepaid[judgedBudget] = 2
		}, func(v trial.Verdict) int { return int(v.Overspend) }),
	)

	It("counts a refusal that a single counter would have paid for, which breaks no promise", func() {
		e := evidence()
		e.Outcomes[0].Code, e.Outcomes[0].Answered = granitehoist.BudgetExhausted, false
		e.Outcomes[0].Fates = []granitehoist.Fate{granitehoist.NotRun}
		e.Books, e.Charges = nil, nil
		Expect(trial.Judge(e)).To(Equal(trial.Verdict{Requests: 1, Refused: 1, NotRun: 1, FalseRefusals: 1}))
	})
})
