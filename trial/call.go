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

// Outcome is what the caller of one request was told.
type Outcome struct {
	ID     granitehoist.RequestID
	Budget granitehoist.BudgetID
	// Cost is what one execution costs.
	Cost granitehoist.Tokens
	// Once says that the request must not be repeated.
	Once bool
	// Code is of the last answer; Fates are of all answers, since a request not
	// to be repeated is sent twice.
	Code  granitehoist.Code
	Fates []granitehoist.Fate
	// Answered says that an answer with a result came, and Correct that it was
	// complete and the request's own.
	Answered, Correct bool
	// Broken says that a stream ended with an error in place of its end mark.
	Broken bool
	// Failed is an error of the connection to the router.
	Failed error
	// Killed says that the connection failed, or the answer ended early,
	// because the router was killed.
	Killed bool
}

// call is one request of the load on its way to the routers.
type call struct {
	outcome Outcome
	shape   shape
	prompt  string
	// address is of the router that the request was sent to last.
	address string
	// endedEarly says that its answer ended without an end mark.
	endedEarly bool
}

// newCall returns the i-th request of the load. Its prompt or body begins with its
// id, by which it is found in the books of the stand-ins.
func newCall(i int, s shape) *call {
	id := fmt.Sprintf("trial-%06d", i)
	budget := granitehoist.NewBudgetID(s.partner, s.workspace, budgetName)
	prompt := fmt.Sprintf("%s %s what is the way?", id, budget)
	cost := granitehoist.Tokens(plainPrice)
	if s.model != "" {
		cost = standin.Cost(prompt, maxOutput)
	}
	return &call{
		outcome: Outcome{ID: granitehoist.RequestID(id), Budget: budget, Cost: cost, Once: s.once},
		shape:   s,
		prompt:  prompt,
	}
}

// plainPath is asked for at plain services, which answer it back.
const plainPath = "/berths"

// request builds the HTTP request to the router at an address.
func (c *call) request(address string) (*http.Request, error) {
	base := sling.New().Base("http://"+address).
		Set("Authorization", "Bearer "+Key(c.shape.workspace)).
		Set(gate.HeaderRequest, string(c.outcome.ID))
	if c.shape.model != "" {
		body := map[string]any{
			"model":      c.shape.model,
			"max_tokens": maxOutput,
			"stream":     c.shape.stream,
			"messages":   []standin.ChatMessage{{Role: "user", Content: standin.ChatContent(c.prompt)}},
		}
		return base.Post("/v1/chat/completions").BodyJSON(body).Request()
	}
	base = base.Body(strings.NewReader(c.prompt))
	path := "/services/" + string(c.shape.service) + plainPath
	if c.shape.once {
		return base.Set(gate.HeaderOnce, "true").Post(path).Request()
	}
	return base.Get(path).Request()
}

// send makes the request and notes the answer in the outcome.
func (c *call) send(ctx context.Context, client *http.Client, address string) {
	c.address = address
	request, err := c.request(address)
	if err != nil {
		c.outcome.Failed = err
		return
	}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		c.outcome.Failed = err
		return
	}
	// A failure to close an answer that has been read can't change it.
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		c.noteFailure(response.Body)
		return
	}
	c.noteAnswer(response.Body)
}

// noteFailure notes the error that a router answered.
func (c *call) noteFailure(body io.Reader) {
	var failure gate.Failure
	if err := json.NewDecoder(body).Decode(&failure); err != nil {
		c.outcome.Failed = err
		return
	}
	c.outcome.Fates = append(c.outcome.Fates, failure.Error.Fate)
	if c.outcome.Answered && failure.Error.Fate == granitehoist.Ran {
		// The second sending of a request that was answered already.
		return
	}
	c.outcome.Code = granitehoist.Code(failure.Error.Code)
}

// noteAnswer notes a successful answer, and whether it is complete and the
// request's own.
func (c *call) noteAnswer(body io.Reader) {
	a := c.read(body)
	c.endedEarly = !a.ended
	if a.failure != nil {
		c.outcome.Code = granitehoist.Code(a.failure.Error.Code)
		c.outcome.Fates = append(c.outcome.Fates, a.failure.Error.Fate)
		c.outcome.Broken = true
		return
	}
	c.outcome.Code = granitehoist.Served
	c.outcome.Fates = append(c.outcome.Fates, granitehoist.Ran)
	c.outcome.Answered = true
	c.outcome.Correct = a.ended && a.text == c.expected()
}

// expected returns the text that the stand-ins answer to the request.
func (c *call) expected() string {
	if c.shape.model == "" {
		return plainPath + " " + c.prompt
	}
	return strings.Join(standin.Answer(c.prompt, maxOutput), " ")
}

// answer is a successful answer as far as it came.
type answer struct {
	text string
	// ended says that the answer came to its end.
	ended bool
	// failure is the error that stands in place of a stream's end mark.
	failure *gate.Failure
}

// read reads the body of a successful answer in the form that the request asked
// for.
func (c *call) read(body io.Reader) answer {
	switch {
	case c.shape.model == "":
		var plain standin.PlainAnswer
		err := json.NewDecoder(body).Decode(&plain)
		return answer{text: plain.Path + " " + plain.Body, ended: err == nil}
	case c.shape.stream:
		return readStream(body)
	default:
		return readCompletion(body)
	}
}

func readCompletion(body io.Reader) answer {
	var completion standin.Completion
	if err := json.NewDecoder(body).Decode(&completion); err != nil || len(completion.Choices) != 1 || completion.Choices[0].Message == nil {
		return answer{}
	}
	return answer{text: string(completion.Choices[0].Message.Content), ended: true}
}

// readStream reads the events of a stream up to its end mark, or to the error
// that stands in its place.
func readStream(body io.Reader) answer {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return answer{text: text.String(), ended: true}
		}
		var failure gate.Failure
		if err := json.Unmarshal([]byte(data), &failure); err == nil && failure.Error.Code != 0 {
			return answer{failure: &failure}
		}
		var event standin.Completion
		if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) != 1 || event.Choices[0].Delta == nil {
			break
		}
		text.WriteString(string(event.Choices[0].Delta.Content))
	}
	return answer{text: text.String()}
}
