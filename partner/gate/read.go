// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"errors"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/readlimit"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/route"
	"granitehoist.example/granitehoist/partner/upstream"
)

func (g *Gate) serveCompletion(w http.ResponseWriter, r *http.Request) {
	req, err := g.begin(w, r)
	defer req.body.Release()
	if err == nil {
		err = g.readCompletion(w, r, req)
	}
	g.respond(w, r, req, err)
}

func (g *Gate) servePlain(w http.ResponseWriter, r *http.Request) {
	req, err := g.begin(w, r)
	defer req.body.Release()
	if err == nil {
		err = g.readPlain(w, r, req)
	}
	g.respond(w, r, req, err)
}

// begin reads what all requests have in common: the id, key, headers and budget. The request
// is never nil, so that an error can be sent to the caller.
func (g *Gate) begin(w http.ResponseWriter, r *http.Request) (*request, error) {
	req := &request{input: callerRequest{id: g.requestID(r), hasID: r.Header.Get(HeaderRequest) != "", startedAt: g.settings.Clock()}}
	req.body = readlimit.Buffer{Part: readlimit.RequestBody, MaxBytes: g.settings.Limits.BodyBytes, Memory: g.bodyMemory}
	req.sink = &sink{w: w, id: req.input.id, onChunk: func() { g.recordChunk(req) }}
	if err := g.availability().refusal(); err != nil {
		return req, err
	}
	view := g.settings.View()
	var err error
	if req.input.identity, err = identify(view, r); err != nil {
		return req, err
	}
	if req.input.options, err = parseOptions(r.Header, g.settings.Limits.RequestTimeout); err != nil {
		return req, err
	}
	req.plan.budget, err = findBudget(view, req.input.identity, req.input.options.budget)
	return req, err
}

// findBudget returns the budget to charge: the budget that the caller named, or the budget of
// the key if named is empty. The error is a *granitehoist.Error with code BudgetUnknown.
func findBudget(view *config.View, identity config.Identity, named string) (granitehoist.BudgetID, error) {
	name := named
	if name == "" {
		name = identity.Budget
	}
	budget := granitehoist.NewBudgetID(identity.Partner, identity.Workspace, name)
	if _, ok := view.Prepaid(budget); !ok {
		return budget, granitehoist.Errorf(granitehoist.BudgetUnknown, "budget %q", name)
	}
	return budget, nil
}

// readCompletion reads a request to a model.
func (g *Gate) readCompletion(w http.ResponseWriter, r *http.Request, req *request) error {
	body, err := g.readBody(w, r, req)
	if err != nil {
		return err
	}
	c, err := parseCompletion(body)
	if err != nil {
		return err
	}
	offer, ok := g.settings.View().OfferByModel(req.input.identity.Partner, c.model)
	if !ok {
		return granitehoist.Errorf(granitehoist.UnknownModel, "model %q", c.model)
	}
	if (r.URL.Path == pathChat) != (c.messages > 0) {
		return granitehoist.Errorf(granitehoist.BadRequest, "%s requires \"messages\" and %s requires \"prompt\"", pathChat, pathCompletions)
	}
	req.setCompletionInput(c, offer)
	req.planCompletion(c, r.URL.Path)
	return nil
}

// setCompletionInput sets the input of a completion request.
func (r *request) setCompletionInput(c *completion, offer *config.Offer) {
	r.input.offer = offer
	r.input.model = c.model
	r.input.bodyBytes = c.bodyBytes
	r.input.maxOutput = c.choices * c.maxOutput(offer.Service)
	r.input.writeBody = func(p granitehoist.Priority) ([]byte, error) { return c.upstreamBody(offer.Service, p) }
	r.sink.stream = c.stream
}

// planCompletion sets the plan of a completion request. Unless its caller sets
// HeaderOnce, a completion may be repeated after an attempt that may have run. The repetition
// costs tokens of the budget but has no side effects.
func (r *request) planCompletion(c *completion, path string) {
	r.plan.maxCost = c.maxCost(r.input.offer.Service)
	r.plan.affinity = route.PrefixAffinity(c.prefix)
	r.plan.once = r.input.options.once
	r.plan.repeatable = !r.plan.once
	r.plan.call = granitehoist.Call{
		Method:    http.MethodPost,
		Path:      path,
		Header:    http.Header{"Content-Type": {"application/json"}},
		Stream:    c.stream,
		HideUsage: c.stream && !c.wantsUsage,
		Once:      r.plan.once,
	}
}

// readPlain reads a request to a plain service.
func (g *Gate) readPlain(w http.ResponseWriter, r *http.Request, req *request) error {
	name := granitehoist.Service(r.PathValue("service"))
	offer, ok := g.settings.View().OfferByService(req.input.identity.Partner, name)
	if !ok || offer.Kind != config.KindPlain {
		return granitehoist.Errorf(granitehoist.UnknownService, "service %q", name)
	}
	body, err := g.readBody(w, r, req)
	if err != nil {
		return err
	}
	req.input.offer = offer
	req.input.bodyBytes = len(body)
	req.input.writeBody = func(granitehoist.Priority) ([]byte, error) { return body, nil }
	req.planPlain(r)
	return nil
}

// planPlain sets the plan of a request to a plain service. Only requests with a safe HTTP
// method may be repeated. A request must not run twice if its caller sets HeaderOnce, or if
// its method is not safe and the document sets Once for the service.
func (r *request) planPlain(from *http.Request) {
	safe := from.Method == http.MethodGet || from.Method == http.MethodHead || from.Method == http.MethodOptions
	offer := r.input.offer
	r.plan.maxCost = offer.Price
	r.plan.once = r.input.options.once || (offer.Once && !safe)
	r.plan.repeatable = safe && !r.plan.once
	r.plan.call = granitehoist.Call{
		Method: from.Method,
		Path:   upstreamPath(from),
		Header: forwardedHeader(from.Header),
		Once:   r.plan.once,
	}
}

// ownHeaderPrefix begins the names of all headers of the gate but HeaderRequest.
const ownHeaderPrefix = "Granitehoist-"

// forwardedHeader returns the headers that are forwarded to a plain service, without the
// headers addressed to the gate. Underscores in names match hyphens, since some services
// treat both alike.
func forwardedHeader(h http.Header) http.Header {
	passed := upstream.EndToEndHeader(h, "Authorization", "Content-Length", "Host")
	for name := range passed {
		standard := textproto.CanonicalMIMEHeaderKey(strings.ReplaceAll(name, "_", "-"))
		if standard == HeaderRequest || strings.HasPrefix(standard, ownHeaderPrefix) {
			delete(passed, name)
		}
	}
	return passed
}

// upstreamPath returns the path and query for a plain service: the caller's path and query
// without the prefix and the name of the service, with the caller's escaping. It begins
// with a slash. The route pattern of servePlain ensures that both removed segments exist;
// the caller may have escaped characters in them.
func upstreamPath(r *http.Request) string {
	const leadingParts = 3 // the empty one before the first slash, the prefix and the name
	parts := strings.SplitN(r.URL.EscapedPath(), "/", leadingParts+1)
	path := "/" + parts[leadingParts]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

const (
	// bodyMemory bounds the bodies of all requests in progress together, in bytes.
	bodyMemory = 256 << 20
	// routerFullRetry is short, since another router can serve the request at once.
	routerFullRetry = 50 * time.Millisecond
)

// readBody reads the body of a request within the size limit and the read deadline set by
// ServeHTTP. It clears the deadline only after the whole body was read: net/http reads the
// rest of the body before it responds, and would wait for a slow caller without limit.
func (g *Gate) readBody(w http.ResponseWriter, r *http.Request, req *request) ([]byte, error) {
	limit := g.settings.Limits.BodyBytes
	body, err := req.body.ReadAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	exceeded := readlimit.Of(err)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge), exceeded != nil && exceeded.FaultOfPeer():
		return nil, granitehoist.Errorf(granitehoist.BodyTooLarge, "the limit is %d bytes", limit)
	case exceeded != nil:
		full := granitehoist.Wrap(granitehoist.RouterFull, err, "")
		full.RetryAfter = routerFullRetry
		return nil, full
	case err != nil:
		return nil, granitehoist.Wrap(granitehoist.SlowCaller, err, "")
	}
	setReadDeadline(w, time.Time{})
	return body, nil
}

// setReadDeadline sets the deadline for reading a request; the zero time clears it.
func setReadDeadline(w http.ResponseWriter, at time.Time) {
	// Connections of net/http support deadlines; only test recorders don't.
	_ = http.NewResponseController(w).SetReadDeadline(at)
}

// setWriteDeadline sets the deadline for writing a response, so that a caller that does not
// read can't keep the request open.
func setWriteDeadline(w http.ResponseWriter, at time.Time) {
	// As in setReadDeadline, only test recorders return an error.
	_ = http.NewResponseController(w).SetWriteDeadline(at)
}
