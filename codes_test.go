// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package granitehoist_test

import (
	"errors"
	"fmt"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

// codesMarkdown returns the table of docs/CODES.md generated from the code.
func codesMarkdown() string {
	var table strings.Builder
	table.WriteString("| number | name | fate | HTTP status | advice | message |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, info := range granitehoist.Codes() {
		fmt.Fprintf(&table, "| %d | %s | %s | %d | %s | %s |\n", info.Code, info.Name, info.Execution, info.Status, info.Advice, info.Message)
	}
	return table.String()
}

var _ = Describe("Codes", func() {
	It("match the table of docs/CODES.md", func() {
		page, err := os.ReadFile("docs/CODES.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(ContainSubstring(codesMarkdown()))
	})

	It("have unique numbers and names", func() {
		names := map[string]bool{}
		numbers := map[granitehoist.Code]bool{}
		for _, info := range granitehoist.Codes() {
			Expect(names[info.Name]).To(BeFalse(), info.Name)
			Expect(numbers[info.Code]).To(BeFalse(), info.Name)
			names[info.Name], numbers[info.Code] = true, true
		}
	})

	It("panic in Info if they are unknown", func() {
		Expect(func() { granitehoist.Code(9999).Info() }).To(Panic())
	})

	DescribeTable("are returned by CodeOf",
		func(err error, code granitehoist.Code) { Expect(granitehoist.CodeOf(err)).To(Equal(code)) },
		Entry("nil", nil, granitehoist.Served),
		Entry("another error", errors.New("other"), granitehoist.Internal),
		Entry("an Error", granitehoist.Errorf(granitehoist.WrongKey, ""), granitehoist.WrongKey),
		Entry("a wrapped Error", fmt.Errorf("while: %w", granitehoist.Errorf(granitehoist.WrongKey, "")), granitehoist.WrongKey),
	)

	It("do not reveal the cause of an error to callers", func() {
		err := granitehoist.Wrap(granitehoist.StoreDown, errors.New("secret address"), "")
		Expect(err.Message()).NotTo(ContainSubstring("secret"))
		Expect(err.Error()).To(ContainSubstring("secret"))
	})
})

var _ = Describe("BudgetID", func() {
	It("returns its parts", func() {
		id := granitehoist.NewBudgetID("tuul", "kiosk", "a/b")
		Expect(id.Partner()).To(Equal(granitehoist.Partner("tuul")))
		Expect(id.Workspace()).To(Equal(granitehoist.Workspace("kiosk")))
		Expect(id.Name()).To(Equal("a/b"))
	})

	It("has no parts if it is malformed", func() {
		Expect(granitehoist.BudgetID("x").Partner()).To(BeEmpty())
		Expect(granitehoist.BudgetID("x/y").Workspace()).To(BeEmpty())
		Expect(granitehoist.BudgetID("x/y").Name()).To(BeEmpty())
	})
})
