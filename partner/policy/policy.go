// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package policy

import (
	"fmt"

	"cel.dev/cel-go/cel"

	"granitehoist.example/granitehoist"
)

// costLimit bounds the cost of one evaluation in CEL cost units, about one for each
// operation.
const costLimit = 10_000

// MaxProgramSize is the maximum length of one program in bytes.
const MaxProgramSize = 4096

// Source holds the program texts of a policy.
type Source struct {
	Name string
	// Permit is a CEL program that yields a boolean.
	Permit string
	// Priority is a CEL program that yields an integer. If it is empty, the
	// request's own priority is used.
	Priority string
}

// Decision is the result of one policy for one request.
type Decision struct {
	Permit   bool
	Priority granitehoist.Priority
}

// Policy is a compiled policy. It is safe for concurrent use.
type Policy struct {
	name     string
	permit   cel.Program
	priority cel.Program
}

// ProgramError is the error of a program that does not compile or that fails in evaluation.
type ProgramError struct {
	// Policy is the policy's name.
	Policy string
	// Program is "permit" or "priority".
	Program string
	// Reason is the description of the error.
	Reason string
}

// Error returns the policy, the program and the reason.
func (e *ProgramError) Error() string {
	return fmt.Sprintf("policy %q, program %s: %s", e.Policy, e.Program, e.Reason)
}

// defaultPriorityProgram yields the request's own priority.
const defaultPriorityProgram = "priority"

// New compiles a policy. It returns a *ProgramError if a program is too long, does not
// compile or yields the wrong type, or if the permit program is empty.
func New(source Source) (*Policy, error) {
	permit, err := compile(source.Name, "permit", source.Permit, cel.BoolType)
	if err != nil {
		return nil, err
	}
	text := source.Priority
	if text == "" {
		text = defaultPriorityProgram
	}
	priority, err := compile(source.Name, "priority", text, cel.IntType)
	if err != nil {
		return nil, err
	}
	return &Policy{name: source.Name, permit: permit, priority: priority}, nil
}

// compile parses one program, checks that it yields the type want and returns it
// ready for evaluation.
func compile(policy, program, text string, want *cel.Type) (cel.Program, error) {
	fault := func(format string, args ...any) error {
		return &ProgramError{Policy: policy, Program: program, Reason: fmt.Sprintf(format, args...)}
	}
	if text == "" {
		return nil, fault("is empty")
	}
	if len(text) > MaxProgramSize {
		return nil, fault("is longer than %d bytes", MaxProgramSize)
	}
	ast, issues := environment.Compile(text)
	if issues != nil && issues.Err() != nil {
		return nil, fault("does not compile: %s", firstIssue(issues))
	}
	if !ast.OutputType().IsExactType(want) {
		return nil, fault("yields %v and must yield %v", ast.OutputType(), want)
	}
	compiled, err := environment.Program(ast, cel.CostLimit(costLimit), cel.EvalOptions(cel.OptOptimize))
	if err != nil {
		return nil, fault("can't be prepared: %v", err)
	}
	return compiled, nil
}

// firstIssue formats the first compile error with its position on one line.
func firstIssue(issues *cel.Issues) string {
	first := issues.Errors()[0]
	return fmt.Sprintf("line %d, column %d: %s", first.Location.Line(), first.Location.Column()+1, first.Message)
}

// Decide evaluates the policy for a request. If a program fails or exceeds the cost
// limit, it returns an error with code PolicyFailed, and the caller must deny the
// request. A priority out of range is clamped.
func (p *Policy) Decide(r Request) (Decision, error) {
	vars := r.variables()
	permit, err := p.evaluate("permit", p.permit, vars)
	if err != nil {
		return Decision{}, err
	}
	if permit != true {
		return Decision{}, nil
	}
	value, err := p.evaluate("priority", p.priority, vars)
	if err != nil {
		return Decision{}, err
	}
	// New has checked that the program yields an integer, which CEL represents as
	// an int64.
	number, _ := value.(int64)
	return Decision{Permit: true, Priority: clamp(number)}, nil
}

// evaluate runs one compiled program and returns its value as a Go value.
func (p *Policy) evaluate(program string, compiled cel.Program, vars map[string]any) (any, error) {
	value, _, err := compiled.Eval(vars)
	if err != nil {
		fault := &ProgramError{Policy: p.name, Program: program, Reason: err.Error()}
		return nil, granitehoist.Wrap(granitehoist.PolicyFailed, fault, "policy "+p.name)
	}
	return value.Value(), nil
}

// clamp returns the priority in range that is nearest to number.
func clamp(number int64) granitehoist.Priority {
	return granitehoist.Priority(min(max(number, int64(granitehoist.MinPriority)), int64(granitehoist.MaxPriority)))
}
