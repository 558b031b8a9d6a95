// Package errcode defines the closed set of error kinds of calls in the mesh, and the answer to a client for each of them. All
// programs use it: towards clients and operators a kind becomes an HTTP status, between programs it is sent as one byte. Errors
// outside this set cannot be sent.
package errcode

import (
	"errors"
	"fmt"
	"net/http"
)

// Kind is a kind of error. Its number is sent between programs, so numbers must never be reused.
type Kind uint8

// The kinds. Those with Answer.NotRun promise that nothing has been executed and nothing will be.
const (
	OK                   Kind = 0
	InvalidRequest       Kind = 1  // the request is malformed or ambiguous
	NoRoute              Kind = 2  // no route matches
	HeaderTooLarge       Kind = 3  // the header exceeds the limit
	BodyTooLarge         Kind = 4  // the body exceeds the limit
	RequestTimeout       Kind = 5  // the client did not send the whole request in time
	NotReady             Kind = 6  // no configuration has been received yet
	NoBackend            Kind = 7  // no backend of the service is known to be serving
	Overloaded           Kind = 8  // the backends tried had no capacity in time
	DeadlinePassed       Kind = 9  // the deadline passed before the request was sent
	Draining             Kind = 10 // the backend is draining or has stopped
	BackendReplaced      Kind = 11 // another backend runs at the address of the intended one
	Unreachable          Kind = 12 // no connection could be established
	Declined             Kind = 13 // the backend declined the request, with proof that it did not run
	InvalidResponse      Kind = 14 // the response is not a valid one
	ConnectionLost       Kind = 15 // the connection was closed before the response was complete
	ResponseTimeout      Kind = 16 // no response within the deadline
	KeyInProgress        Kind = 17 // the first request with this idempotency key is still running
	KeyOutcomeUnknown    Kind = 18 // it is unknown whether the first request with this key ran; it will not run again
	KeyContended         Kind = 19 // concurrent requests with one key, none of which was granted
	NoQuorum             Kind = 20 // no majority of the replicas of keys and configuration answers
	InvalidConfiguration Kind = 21 // the configuration is invalid
	VersionConflict      Kind = 22 // this version already exists with other content
	UnknownCall          Kind = 23 // no such call, or not with this method
	Recovering           Kind = 24 // a member lost its disk and has not recovered yet
	HigherBallot         Kind = 25 // a higher ballot was promised
	DiskUnavailable      Kind = 26 // the disk is full, hangs or fails
	Malformed            Kind = 27 // a message between programs cannot be decoded
	NotFound             Kind = 28 // no longer known
	RetryBudgetExhausted Kind = 29 // the retry budget allows no further attempt
	OutcomeUnknown       Kind = 30 // it is unknown whether this version was accepted, and with which content
	ClientDisconnected   Kind = 31 // the client closed the connection before the request was sent to a backend
	kindCount            Kind = 32
)

// Answer is the response to a client or operator for a kind.
type Answer struct {
	Status     int
	NotRun     bool // the status promises that nothing was executed
	RetryAfter bool // a Retry-After header is sent
	Text       string
}

var answers = [kindCount]Answer{
	OK:                   {200, false, false, "ok"},
	InvalidRequest:       {http.StatusBadRequest, true, false, "request can't be read"},
	NoRoute:              {http.StatusNotFound, true, false, "no route"},
	HeaderTooLarge:       {http.StatusRequestHeaderFieldsTooLarge, true, false, "header too long"},
	BodyTooLarge:         {http.StatusRequestEntityTooLarge, true, false, "body too long"},
	RequestTimeout:       {http.StatusRequestTimeout, true, false, "request did not come whole in time"},
	NotReady:             {http.StatusServiceUnavailable, true, true, "no configuration yet"},
	NoBackend:            {http.StatusServiceUnavailable, true, true, "no backend"},
	Overloaded:           {http.StatusServiceUnavailable, true, true, "backends are full"},
	DeadlinePassed:       {http.StatusServiceUnavailable, true, false, "time was over before it was sent"},
	Draining:             {http.StatusServiceUnavailable, true, true, "backend leaves"},
	BackendReplaced:      {http.StatusServiceUnavailable, true, true, "another backend has its place"},
	Unreachable:          {http.StatusServiceUnavailable, true, true, "backend can't be reached"},
	Declined:             {http.StatusServiceUnavailable, true, true, "backend declined it"},
	InvalidResponse:      {http.StatusBadGateway, false, false, "no usable answer"},
	ConnectionLost:       {http.StatusBadGateway, false, false, "connection to the backend broke"},
	ResponseTimeout:      {http.StatusGatewayTimeout, false, false, "no answer in time"},
	KeyInProgress:        {http.StatusConflict, false, true, "the first request of this key is at work"},
	KeyOutcomeUnknown:    {http.StatusBadGateway, false, false, "the first request of this key may have run: its answer is lost"},
	KeyContended:         {http.StatusServiceUnavailable, true, true, "several requests of this key at once"},
	NoQuorum:             {http.StatusServiceUnavailable, true, true, "no majority answers"},
	InvalidConfiguration: {http.StatusBadRequest, false, false, "configuration is not valid"},
	VersionConflict:      {http.StatusConflict, false, false, "another content of this version stands"},
	UnknownCall:          {http.StatusNotFound, false, false, "no such call"},
	Recovering:           {http.StatusServiceUnavailable, true, true, "disk was lost and is being made up for"},
	HigherBallot:         {http.StatusServiceUnavailable, false, true, "another write came between"},
	DiskUnavailable:      {http.StatusServiceUnavailable, false, true, "disk takes no writes"},
	Malformed:            {http.StatusBadRequest, false, false, "message can't be read"},
	NotFound:             {http.StatusNotFound, false, false, "nothing known of it"},
	OutcomeUnknown:       {http.StatusServiceUnavailable, false, true, "whether it was taken can't be told"},
	ClientDisconnected:   {http.StatusServiceUnavailable, true, false, "its client has left"},
	RetryBudgetExhausted: {http.StatusServiceUnavailable, true, true, "no further try allowed"},
}

// Answer returns the answer for k; for an unknown kind, that of InvalidResponse.
func (k Kind) Answer() Answer {
	if k >= kindCount || answers[k].Status == 0 {
		return answers[InvalidResponse]
	}
	return answers[k]
}

// NotRun reports whether k proves that nothing was executed.
func (k Kind) NotRun() bool { return k.Answer().NotRun }

func (k Kind) String() string { return k.Answer().Text }

// Error is an error of a kind with an optional cause.
type Error struct {
	Kind Kind
	Err  error // may be nil
}

func (e *Error) Error() string {
	if e.Err == nil {
		return e.Kind.String()
	}
	return fmt.Sprintf("%s: %v", e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns an error of a kind. The cause is formatted as by fmt.Errorf; an empty format means no cause.
func New(k Kind, format string, args ...any) error {
	if format == "" {
		return &Error{Kind: k}
	}
	return &Error{Kind: k, Err: fmt.Errorf(format, args...)}
}

// Of returns the kind of an error: OK for nil, and InvalidResponse for an error without a kind.
func Of(err error) Kind {
	if err == nil {
		return OK
	}
	if e := (*Error)(nil); errors.As(err, &e) {
		return e.Kind
	}
	return InvalidResponse
}
