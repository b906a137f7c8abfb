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
	requestID = granitehoist.RequestID("trial-000000")
	budgetID  = granitehoist.BudgetID("tuul/kiosk/season")
)

// observations returns the Observations of one request that was executed, charged and
// answered once.
func observations() trial.Observations {
	return trial.Observations{
		Outcomes: []*trial.Outcome{{
			ID: requestID, Budget: budgetID, Cost: 3, Once: true,
			Code: granitehoist.Served, ExecutionStatuses: []granitehoist.ExecutionStatus{granitehoist.Ran},
			Answered: true, Correct: true,
		}},
		Executions: map[granitehoist.RequestID]trial.Executions{requestID: {Runs: 1, Tokens: 3}},
		Charges:    []bill.Charge{{Request: requestID, Tokens: 3, Attempts: []granitehoist.AttemptID{"box.1"}}},
		Prepaid:    map[granitehoist.BudgetID]granitehoist.Tokens{budgetID: 100},
	}
}

var _ = Describe("Verify", func() {
	It("accepts a request that was executed, charged and answered once", func() {
		v := trial.Verify(observations())
		Expect(v).To(Equal(trial.Result{Requests: 1, Served: 1, Billed: 1}))
		Expect(v.Passed()).To(BeTrue())
	})

	DescribeTable("detects",
		func(alter func(e *trial.Observations, o *trial.Outcome), count func(v trial.Result) int) {
			e := observations()
			alter(&e, e.Outcomes[0])
			v := trial.Verify(e)
			Expect(v.Passed()).To(BeFalse(), v.String())
			Expect(count(v)).To(BeNumerically(">", 0), v.String())
		},
		Entry("a second execution of a request that must run once", func(e *trial.Observations, _ *trial.Outcome) {
			e.Executions[requestID] = trial.Executions{Runs: 2, Tokens: 6}
		}, func(v trial.Result) int { return v.Duplicates }),
		Entry("an attempt charged twice", func(e *trial.Observations, _ *trial.Outcome) {
			e.Charges = append(e.Charges, e.Charges[0])
		}, func(v trial.Result) int { return v.Duplicates }),
		Entry("an execution without a charge", func(e *trial.Observations, _ *trial.Outcome) {
			e.Charges = nil
		}, func(v trial.Result) int { return v.Unaccounted }),
		Entry("a charge of a wrong amount", func(e *trial.Observations, _ *trial.Outcome) {
			e.Charges[0].Tokens = 4
		}, func(v trial.Result) int { return v.Unaccounted }),
		Entry("a charge without an execution", func(e *trial.Observations, _ *trial.Outcome) {
			delete(e.Executions, requestID)
		}, func(v trial.Result) int { return v.Unaccounted }),
		Entry("a request without a response", func(_ *trial.Observations, o *trial.Outcome) {
			o.Err = errors.New("connection reset")
		}, func(v trial.Result) int { return v.Unaccounted }),
		Entry("a response to another request", func(_ *trial.Observations, o *trial.Outcome) {
			o.Correct = false
		}, func(v trial.Result) int { return v.WrongAnswers }),
		Entry("an execution of a request reported as not run", func(_ *trial.Observations, o *trial.Outcome) {
			o.Code, o.Answered = granitehoist.UpstreamRefused, false
			o.ExecutionStatuses = []granitehoist.ExecutionStatus{granitehoist.NotRun}
		}, func(v trial.Result) int { return v.FalseNotRun }),
		Entry("overspending", func(e *trial.Observations, _ *trial.Outcome) {
			e.Prepaid[budgetID] = 2
		}, func(v trial.Result) int { return int(v.Overspend) }),
	)

	It("counts a false refusal without failing", func() {
		e := observations()
		e.Outcomes[0].Code, e.Outcomes[0].Answered = granitehoist.BudgetExhausted, false
		e.Outcomes[0].ExecutionStatuses = []granitehoist.ExecutionStatus{granitehoist.NotRun}
		e.Executions, e.Charges = nil, nil
		Expect(trial.Verify(e)).To(Equal(trial.Result{Requests: 1, Refused: 1, NotRun: 1, FalseRefusals: 1}))
	})
})
