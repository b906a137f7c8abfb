// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package policy

import (
	"fmt"

	"cel.dev/cel-go/cel"

	"granitehoist.example/granitehoist"
)

// costLimit bounds the cost of one program in CEL's own cost units, about one for each
// operation.
const costLimit = 10_000

// MaxProgramSize bounds the length of one program in bytes.
const MaxProgramSize = 4096

// Source is the text of a policy.
type Source struct {
	Name string
	// Permit is a CEL program that yields a boolean.
	Permit string
	// Priority is a CEL program that yields an integer; empty stands for
	// "priority", the one that the caller asked for.
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

// Fault describes what is wrong with one program of a policy.
type Fault struct {
	// Policy is the policy's name.
	Policy string
	// Program is "permit" or "priority".
	Program string
	// Reason says what is wrong.
	Reason string
}

// Error returns the policy, the program and the reason.
func (f *Fault) Error() string {
	return fmt.Sprintf("policy %q, program %s: %s", f.Policy, f.Program, f.Reason)
}

// defaultPriorityProgram keeps the priority that the caller asked for.
const defaultPriorityProgram = "priority"

// New compiles a policy. It returns a *Fault if a program does not compile or
// yields another type than it should.
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

// compile checks one program and prepares it. want is the type that it must
// yield.
func compile(policy, program, text string, want *cel.Type) (cel.Program, error) {
	fault := func(format string, args ...any) error {
		return &Fault{Policy: policy, Program: program, Reason: fmt.Sprintf(format, args...)}
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

// firstIssue returns where and why a program does not compile, on one line.
func firstIssue(issues *cel.Issues) string {
	first := issues.Errors()[0]
	return fmt.Sprintf("line %d, column %d: %s", first.Location.Line(), first.Location.Column()+1, first.Message)
}

// Decide evaluates the policy. A program that fails or costs too much yields
// an error with code PolicyFailed; the request is then to be denied. A priority
// out of range becomes the nearest one in range.
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
	// New has made sure that the program yields an integer, which CEL gives as an
	// int64.
	number, _ := value.(int64)
	return Decision{Permit: true, Priority: clamp(number)}, nil
}

func (p *Policy) evaluate(program string, compiled cel.Program, vars map[string]any) (any, error) {
	value, _, err := compiled.Eval(vars)
	if err != nil {
		fault := &Fault{Policy: p.name, Program: program, Reason: err.Error()}
		return nil, granitehoist.Wrap(granitehoist.PolicyFailed, fault, "policy "+p.name)
	}
	return value.Value(), nil
}

func clamp(number int64) granitehoist.Priority {
	return granitehoist.Priority(min(max(number, int64(granitehoist.MinPriority)), int64(granitehoist.MaxPriority)))
}
