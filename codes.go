// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package granitehoist

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is the numbered result of a request, as returned to the caller. The numbers are
// stable: 1 is success, 10xx invalid requests, 20xx permissions, 30xx budgets, 40xx overload
// and choice of an upstream, 50xx upstreams, 60xx the fleet itself, 70xx operators'
// documents. docs/CODES.md lists them.
type Code int

// The result codes. codeTable and docs/CODES.md have the execution status, HTTP status,
// advice and message of each.
const (
	Served Code = 1

	BadRequest        Code = 1001
	UnknownModel      Code = 1002
	UnknownService    Code = 1003
	BodyTooLarge      Code = 1004
	SlowCaller        Code = 1005
	BadTokenCount     Code = 1006
	Unsupported       Code = 1007
	BadHeader         Code = 1008
	NotFound          Code = 1009
	MethodNotAllowed  Code = 1010
	CallerGone        Code = 1011
	DeadlineTooNear   Code = 1012
	HeaderTooLarge    Code = 1013
	MissingKey        Code = 2001
	WrongKey          Code = 2002
	PolicyDenied      Code = 2003
	PolicyFailed      Code = 2004
	BudgetExhausted   Code = 3001
	BudgetUnknown     Code = 3002
	BudgetUnreachable Code = 3003
	BillsFull         Code = 3004
	NoUpstream        Code = 4001
	Overloaded        Code = 4002
	Draining          Code = 4003
	CrashesUpstreams  Code = 4004
	NotResumable      Code = 4005
	UpstreamRefused   Code = 5001
	UpstreamLost      Code = 5002
	UpstreamCut       Code = 5003
	AnswerCrossed     Code = 5004
	UpstreamBadAnswer Code = 5005
	// UpstreamsUnreachable concerns the router rather than an upstream.
	UpstreamsUnreachable Code = 5006
	AlreadyRun           Code = 6001
	OnceUnsure           Code = 6002
	OnceUnavailable      Code = 6003
	Internal             Code = 6004
	NotReady             Code = 6005
	RouterLive           Code = 6006
	RouterFull           Code = 6007
	NotAuthorised        Code = 7001
	DocumentBad          Code = 7002
	DocumentConflict     Code = 7003
	StoreDown            Code = 7004
	DocumentPending      Code = 7005
	DocumentUnsettled    Code = 7006
)

// ExecutionStatus is the execution status of a request: whether an upstream ran it, as far
// as the router knows.
type ExecutionStatus string

const (
	// NotRun means that no byte of the request can have reached an upstream, or that the
	// upstream reported that it did not run the request.
	NotRun ExecutionStatus = "not run"
	// Ran means that an upstream ran the request.
	Ran ExecutionStatus = "ran"
	// MayHaveRun means that the outcome is unknown to the router.
	MayHaveRun ExecutionStatus = "may have run"
)

// Advice is the action that a result code recommends to the caller.
type Advice string

const (
	// AdviceNone means that no action is needed.
	AdviceNone Advice = "none"
	// AdviceFix is for requests that would be refused again unless they are changed.
	AdviceFix Advice = "change the request"
	// AdviceRetryLater is for requests that did not run and may be served later.
	AdviceRetryLater Advice = "retry later"
	// AdviceRetryNow is for requests that did not run and may be retried at once, at this
	// or another router.
	AdviceRetryNow Advice = "retry at once"
	// AdviceSameID is for changes that are stored but not in force yet.
	AdviceSameID Advice = "ask again with the same request id"
	// AdviceCheck is for requests that may have run: a retry may run them twice.
	AdviceCheck Advice = "check what happened before a retry"
)

// CodeInfo describes a Code.
type CodeInfo struct {
	Code Code
	// Name is the code's name in responses, logs and metrics.
	Name string
	// Execution is the execution status of a request that ended with the code.
	Execution ExecutionStatus
	// Status is the HTTP status of the response.
	Status int
	// Advice is the recommended action of the caller.
	Advice Advice
	// Message is the text for callers, to which an Error appends its detail.
	Message string
}

// statusCallerGone is the non-standard status 499 for a client that closed its connection.
// It only appears in logs, since the client can't receive it.
const statusCallerGone = 499

// codeTable describes all codes in the order of their numbers. It is never modified.
var codeTable = []CodeInfo{
	{Served, "served", Ran, http.StatusOK, AdviceNone, "the whole answer was given"},
	{BadRequest, "bad_request", NotRun, http.StatusBadRequest, AdviceFix, "the request body can't be read"},
	{UnknownModel, "unknown_model", NotRun, http.StatusNotFound, AdviceFix, "no service offers this model"},
	{UnknownService, "unknown_service", NotRun, http.StatusNotFound, AdviceFix, "no such service"},
	{BodyTooLarge, "body_too_large", NotRun, http.StatusRequestEntityTooLarge, AdviceFix, "the body is larger than the limit"},
	{SlowCaller, "slow_caller", NotRun, http.StatusRequestTimeout, AdviceRetryNow, "the body did not arrive in time"},
	{BadTokenCount, "bad_token_count", NotRun, http.StatusBadRequest, AdviceFix, "a token count is out of range"},
	{Unsupported, "unsupported", NotRun, http.StatusBadRequest, AdviceFix, "the request uses a feature whose cost has no upper bound"},
	{BadHeader, "bad_header", NotRun, http.StatusBadRequest, AdviceFix, "a header has a wrong value"},
	{NotFound, "not_found", NotRun, http.StatusNotFound, AdviceFix, "nothing is served under this path"},
	{MethodNotAllowed, "method_not_allowed", NotRun, http.StatusMethodNotAllowed, AdviceFix, "this path does not take this method"},
	{CallerGone, "caller_gone", MayHaveRun, statusCallerGone, AdviceCheck, "the caller left before the answer was whole"},
	{DeadlineTooNear, "deadline", NotRun, http.StatusGatewayTimeout, AdviceRetryLater, "the deadline passed before the request could start"},
	{HeaderTooLarge, "header_too_large", NotRun, http.StatusRequestHeaderFieldsTooLarge, AdviceFix, "the headers are larger than the limit"},
	{MissingKey, "missing_key", NotRun, http.StatusUnauthorized, AdviceFix, "no key was given"},
	{WrongKey, "wrong_key", NotRun, http.StatusUnauthorized, AdviceFix, "the key is not known"},
	{PolicyDenied, "policy_denied", NotRun, http.StatusForbidden, AdviceFix, "a policy does not permit the request"},
	{PolicyFailed, "policy_failed", NotRun, http.StatusForbidden, AdviceFix, "a policy could not be evaluated"},
	{BudgetExhausted, "budget_exhausted", NotRun, http.StatusPaymentRequired, AdviceRetryLater, "the budget can't pay for the request"},
	{BudgetUnknown, "budget_unknown", NotRun, http.StatusPaymentRequired, AdviceFix, "the workspace has no such budget"},
	{BudgetUnreachable, "budget_unreachable", NotRun, http.StatusServiceUnavailable, AdviceRetryLater, "no tokens of the budget can be had here now"},
	{BillsFull, "bills_full", NotRun, http.StatusServiceUnavailable, AdviceRetryLater, "unconfirmed charges have reached their limit"},
	{NoUpstream, "no_upstream", NotRun, http.StatusServiceUnavailable, AdviceRetryLater, "no upstream of the service takes requests"},
	{Overloaded, "overloaded", NotRun, http.StatusTooManyRequests, AdviceRetryLater, "the upstreams have no room before the deadline"},
	{Draining, "draining", NotRun, http.StatusServiceUnavailable, AdviceRetryNow, "this router is stopping"},
	{CrashesUpstreams, "crashes_upstreams", NotRun, http.StatusServiceUnavailable, AdviceFix, "upstreams crashed each time they ran this request"},
	{NotResumable, "not_resumable", NotRun, http.StatusServiceUnavailable, AdviceFix, "no upstream can go on with this stream"},
	{UpstreamRefused, "upstream_refused", NotRun, http.StatusBadGateway, AdviceRetryLater, "the upstreams refused the request"},
	{UpstreamLost, "upstream_lost", MayHaveRun, http.StatusBadGateway, AdviceCheck, "the upstream gave no answer"},
	{UpstreamCut, "upstream_cut", MayHaveRun, http.StatusBadGateway, AdviceCheck, "the answer of the upstream ended early"},
	{AnswerCrossed, "answer_crossed", MayHaveRun, http.StatusBadGateway, AdviceCheck, "the upstream gave the answer of another request"},
	{UpstreamBadAnswer, "upstream_bad_answer", MayHaveRun, http.StatusBadGateway, AdviceCheck, "the answer of the upstream can't be read"},
	{UpstreamsUnreachable, "upstreams_unreachable", NotRun, http.StatusServiceUnavailable, AdviceRetryLater, "this router reaches no upstream"},
	{AlreadyRun, "already_run", Ran, http.StatusConflict, AdviceNone, "this request has already run"},
	{OnceUnsure, "once_unsure", MayHaveRun, http.StatusConflict, AdviceCheck, "an earlier attempt of this request may have run"},
	{OnceUnavailable, "once_unavailable", NotRun, http.StatusServiceUnavailable, AdviceRetryLater, "a request not to be repeated can't be bound now"},
	{Internal, "internal", MayHaveRun, http.StatusInternalServerError, AdviceCheck, "the router failed"},
	{NotReady, "not_ready", NotRun, http.StatusServiceUnavailable, AdviceRetryLater, "the router has not read its documents yet"},
	{RouterLive, "router_live", NotRun, http.StatusConflict, AdviceRetryLater, "the router is in the list of live routers"},
	{RouterFull, "router_full", NotRun, http.StatusServiceUnavailable, AdviceRetryNow, "this router has no memory left for the request"},
	{NotAuthorised, "not_authorised", NotRun, http.StatusForbidden, AdviceFix, "the document is not signed by its partner"},
	{DocumentBad, "document_bad", NotRun, http.StatusUnprocessableEntity, AdviceFix, "the document has faults"},
	{DocumentConflict, "document_conflict", NotRun, http.StatusConflict, AdviceFix, "the document was changed meanwhile"},
	{StoreDown, "store_down", NotRun, http.StatusServiceUnavailable, AdviceRetryLater, "the platform's store does not answer"},
	{DocumentPending, "document_pending", Ran, http.StatusAccepted, AdviceSameID, "the document is stored and not yet in force everywhere"},
	{DocumentUnsettled, "document_unsettled", MayHaveRun, http.StatusAccepted, AdviceCheck, "the store's answer was lost and could not be read back"},
}

// codeIndex maps each code to its entry in codeTable. It is never modified.
var codeIndex = func() map[Code]CodeInfo {
	index := make(map[Code]CodeInfo, len(codeTable))
	for _, info := range codeTable {
		index[info.Code] = info
	}
	return index
}()

// Codes returns the descriptions of all result codes in the order of their numbers. The
// caller may modify the result.
func Codes() []CodeInfo {
	return append([]CodeInfo(nil), codeTable...)
}

// Info returns the description of a code. It panics for an unknown code.
func (c Code) Info() CodeInfo {
	info, ok := codeIndex[c]
	if !ok {
		panic(fmt.Sprintf("granitehoist: unknown result code %d", int(c)))
	}
	return info
}

// String returns the name of the code. It panics for an unknown code.
func (c Code) String() string { return c.Info().Name }

// Error is a result other than Served.
type Error struct {
	// Code is the numbered result.
	Code Code
	// Detail describes this failure in a few words for callers.
	Detail string
	// RetryAfter, if positive, is the time after which a retry may succeed.
	RetryAfter time.Duration
	// Cause, if not nil, is the underlying error. It may be logged and is never sent to
	// callers.
	Cause error
}

// Errorf returns an Error with a detail formatted as by fmt.Sprintf.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error with a cause, which is not sent to callers. cause may be nil, and
// detail may be empty.
func Wrap(code Code, cause error, detail string) *Error {
	return &Error{Code: code, Detail: detail, Cause: cause}
}

// Error returns the number, name, message and cause. It must not be sent to callers.
func (e *Error) Error() string {
	text := fmt.Sprintf("%d %s: %s", int(e.Code), e.Code, e.Message())
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Message returns the text for callers: the message of the code and the detail.
func (e *Error) Message() string {
	if e.Detail == "" {
		return e.Code.Info().Message
	}
	return e.Code.Info().Message + ": " + e.Detail
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.Cause }

// CodeOf returns the code of an error: Served for nil, and Internal for an error that
// doesn't wrap an *Error.
func CodeOf(err error) Code {
	if err == nil {
		return Served
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}
