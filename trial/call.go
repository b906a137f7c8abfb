// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package trial

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/dghubble/sling"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/gate"
	"granitehoist.example/granitehoist/standin"
)

// Outcome is the result of one request as its caller saw it.
type Outcome struct {
	ID     granitehoist.RequestID
	Budget granitehoist.BudgetID
	// Cost is the cost of one execution.
	Cost granitehoist.Tokens
	// Once is set if the request must not be executed more than once.
	Once bool
	// Code is the result code of the last response. A request with Once is sent twice; Code
	// stays Served if the first response was a result and the second says that the request
	// has already run. ExecutionStatuses are the execution statuses of all responses.
	Code              granitehoist.Code
	ExecutionStatuses []granitehoist.ExecutionStatus
	// Answered is set if a response with a result was received, and Correct if it was
	// complete and belonged to the request.
	Answered, Correct bool
	// StreamFailed is set if a stream ended with an error instead of its end marker.
	StreamFailed bool
	// Err is the error of the connection to the router, if any.
	Err error
	// Killed is set if the connection failed, or the response ended early, because the
	// router was killed.
	Killed bool
}

// call is one request of the load.
type call struct {
	outcome Outcome
	kind    requestKind
	prompt  string
	// address is the address of the router to which the request was last sent.
	address string
	// truncated is set if the response ended without an end marker.
	truncated bool
}

// newCall returns the i-th request of the load. Its prompt or body begins with its ID, by
// which Fleet.executions finds it.
func newCall(i int, k requestKind) *call {
	id := fmt.Sprintf("trial-%06d", i)
	budget := granitehoist.NewBudgetID(k.partner, k.workspace, budgetName)
	prompt := fmt.Sprintf("%s %s what is the way?", id, budget)
	cost := granitehoist.Tokens(plainPrice)
	if k.model != "" {
		cost = standin.Cost(prompt, maxOutput)
	}
	return &call{
		outcome: Outcome{ID: granitehoist.RequestID(id), Budget: budget, Cost: cost, Once: k.once},
		kind:    k,
		prompt:  prompt,
	}
}

// plainPath is the path of requests to plain services, which echo it.
const plainPath = "/berths"

// request builds the HTTP request to the router at an address.
func (c *call) request(address string) (*http.Request, error) {
	base := sling.New().Base("http://"+address).
		Set("Authorization", "Bearer "+Key(c.kind.workspace)).
		Set(gate.HeaderRequest, string(c.outcome.ID))
	if c.kind.model != "" {
		body := map[string]any{
			"model":      c.kind.model,
			"max_tokens": maxOutput,
			"stream":     c.kind.stream,
			"messages":   []standin.ChatMessage{{Role: "user", Content: standin.ChatContent(c.prompt)}},
		}
		return base.Post("/v1/chat/completions").BodyJSON(body).Request()
	}
	base = base.Body(strings.NewReader(c.prompt))
	path := "/services/" + string(c.kind.service) + plainPath
	if c.kind.once {
		return base.Set(gate.HeaderOnce, "true").Post(path).Request()
	}
	return base.Get(path).Request()
}

// send sends the request and records the response in the outcome.
func (c *call) send(ctx context.Context, client *http.Client, address string) {
	c.address = address
	request, err := c.request(address)
	if err != nil {
		c.outcome.Err = err
		return
	}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		c.outcome.Err = err
		return
	}
	// The body has been read, so an error of Close doesn't matter.
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		c.recordFailure(response.Body)
		return
	}
	c.recordResponse(response.Body)
}

// recordFailure records the error response of a router.
func (c *call) recordFailure(body io.Reader) {
	var failure gate.ErrorResponse
	if err := json.NewDecoder(body).Decode(&failure); err != nil {
		c.outcome.Err = err
		return
	}
	c.outcome.ExecutionStatuses = append(c.outcome.ExecutionStatuses, failure.Error.Execution)
	if c.outcome.Answered && failure.Error.Execution == granitehoist.Ran {
		// The second response says that the first request was executed.
		return
	}
	c.outcome.Code = granitehoist.Code(failure.Error.Code)
}

// recordResponse records a successful response, and whether it is complete and belongs to
// the request.
func (c *call) recordResponse(body io.Reader) {
	b := c.read(body)
	c.truncated = !b.complete
	if b.failure != nil {
		c.outcome.Code = granitehoist.Code(b.failure.Error.Code)
		c.outcome.ExecutionStatuses = append(c.outcome.ExecutionStatuses, b.failure.Error.Execution)
		c.outcome.StreamFailed = true
		return
	}
	c.outcome.Code = granitehoist.Served
	c.outcome.ExecutionStatuses = append(c.outcome.ExecutionStatuses, granitehoist.Ran)
	c.outcome.Answered = true
	c.outcome.Correct = b.complete && b.text == c.expected()
}

// expected returns the text with which the stand-ins respond to the request.
func (c *call) expected() string {
	if c.kind.model == "" {
		return plainPath + " " + c.prompt
	}
	return strings.Join(standin.Answer(c.prompt, maxOutput), " ")
}

// responseBody is the decoded body of a successful response, as far as it was received.
type responseBody struct {
	text string
	// complete is set if the end of the response was received.
	complete bool
	// failure is the error that a stream ended with instead of its end marker.
	failure *gate.ErrorResponse
}

// read decodes the body of a successful response in the format of the request.
func (c *call) read(body io.Reader) responseBody {
	switch {
	case c.kind.model == "":
		var plain standin.PlainAnswer
		err := json.NewDecoder(body).Decode(&plain)
		return responseBody{text: plain.Path + " " + plain.Body, complete: err == nil}
	case c.kind.stream:
		return readStream(body)
	default:
		return readCompletion(body)
	}
}

func readCompletion(body io.Reader) responseBody {
	var completion standin.Completion
	if err := json.NewDecoder(body).Decode(&completion); err != nil || len(completion.Choices) != 1 || completion.Choices[0].Message == nil {
		return responseBody{}
	}
	return responseBody{text: string(completion.Choices[0].Message.Content), complete: true}
}

// readStream reads the events of a stream up to its end marker, or the error that replaces
// it.
func readStream(body io.Reader) responseBody {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return responseBody{text: text.String(), complete: true}
		}
		var failure gate.ErrorResponse
		if err := json.Unmarshal([]byte(data), &failure); err == nil && failure.Error.Code != 0 {
			return responseBody{failure: &failure}
		}
		var event standin.Completion
		if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) != 1 || event.Choices[0].Delta == nil {
			break
		}
		text.WriteString(string(event.Choices[0].Delta.Content))
	}
	return responseBody{text: text.String()}
}
