// Package apierror defines the errors of the fleet: their codes (docs/codes.md), the error type that carries a code, and its JSON form.
package apierror

import (
	"errors"
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/samber/oops"
)

// Execution tells what is known about the execution of a request that ended with an error.
type Execution string

// The values of Execution, as written in the header X-Ran.
const (
	NotRun  Execution = "no"      // guaranteed: no replica has started it
	DidRun  Execution = "yes"     // it was executed at least partly
	Unknown Execution = "unknown" // it may have been executed
)

// Code is one entry in the table of result codes.
type Code struct {
	Number   int
	Name     string
	Status   int
	Executed Execution
	Text     string
}

// table has all codes by number.
var table = map[int]Code{}

// code creates a Code and adds it to the table.
func code(number int, name string, status int, executed Execution, text string) Code {
	c := Code{Number: number, Name: name, Status: status, Executed: executed, Text: text}
	table[number] = c
	return c
}

// The result codes. A number is never reused with another meaning.
var (
	Malformed    = code(100, "malformed", 400, NotRun, "not well-formed JSON or HTTP")
	UnknownField = code(101, "unknown_field", 400, NotRun, "a field that does not exist here")
	RepeatField  = code(102, "repeated_field", 400, NotRun, "a field or name given twice")
	WrongType    = code(103, "wrong_type", 400, NotRun, "a value of the wrong type")
	Dangling     = code(104, "dangling_reference", 400, NotRun, "a name that is not declared")
	OutOfRange   = code(105, "out_of_range", 400, NotRun, "a figure outside its range")
	Oversize     = code(106, "oversize", 413, NotRun, "more bytes than allowed")
	Missing      = code(107, "missing_field", 400, NotRun, "a needed field is missing")

	BadKey          = code(200, "bad_key", 401, NotRun, "unknown or revoked access key")
	NoPath          = code(201, "no_path", 404, NotRun, "no path serves this address or model")
	Throttled       = code(210, "held", 429, NotRun, "the tenant is held for longer than the request may wait")
	QueueFull       = code(211, "backlog_full", 429, NotRun, "the tenant's backlog is full")
	Stale           = code(212, "stale", 503, NotRun, "the request's deadline came before its turn")
	NoReplica       = code(213, "no_replica", 503, NotRun, "no replica may serve this now")
	NotCurrent      = code(214, "not_current", 503, NotRun, "this proxy cannot prove that its configuration is current")
	SpentAttempts   = code(215, "spent_shots", 503, NotRun, "refused, and no retry is left in the budget")
	Stopping        = code(216, "stopping", 503, NotRun, "this proxy is stopping")
	ReplicaRejected = code(217, "replica_refused", 502, NotRun, "the replica refused the request as not run")
	NoMemory        = code(218, "no_room", 503, NotRun, "this proxy holds as many bytes of requests as it may, or as the tenant may have")
	TooSlow         = code(219, "too_slow", 408, NotRun, "the request's body came too slowly")
	OutcomeLost     = code(220, "outcome_unknown", 502, Unknown, "sent, and no whole answer came back")
	StreamBroken    = code(221, "stream_cut", 502, Unknown, "the replica's answer broke off; the connection is aborted")
	InProgress      = code(222, "key_in_progress", 409, Unknown, "a request with this key is in progress; this copy was not sent")
	KeyUnknown      = code(223, "key_outcome_unknown", 409, Unknown, "a request with this key was sent and its outcome is unknown; this copy was not sent")
	KeyExecuted     = code(224, "key_ran", 409, DidRun, "a request with this key ran; this copy was not sent")
	NoClaim         = code(225, "no_claim", 503, NotRun, "the key could not be claimed on a majority of disks")
	ForeignAnswer   = code(226, "foreign_answer", 502, Unknown, "the answer bears another request's id")
	ClientGone      = code(227, "caller_gone", 499, NotRun, "the caller left while waiting")
	HeaderOversize  = code(228, "header_oversize", 431, NotRun, "the request's header is larger than allowed")
	NoAdapter       = code(230, "no_adapter", 403, NotRun, "the adapter is not for this tenant")

	Conflict     = code(300, "conflict", 409, NotRun, "the expected version is not the present one")
	NoMajority   = code(301, "no_majority", 503, NotRun, "no majority of cores answered; nothing was changed")
	Undecided    = code(302, "undecided", 504, Unknown, "the change may or may not stand; ask again")
	DiskFailed   = code(303, "disk_failed", 507, NotRun, "this core's disk failed or is full")
	Superseded   = code(304, "superseded", 409, NotRun, "a higher epoch was promised")
	NoMember     = code(305, "not_a_member", 403, NotRun, "this core is no member")
	WrongFleet   = code(306, "wrong_fleet", 403, NotRun, "a message from another fleet")
	NotFound     = code(307, "not_found", 404, NotRun, "no such thing")
	Behind       = code(308, "behind", 409, NotRun, "this acceptor lacks the base of the change")
	Exists       = code(309, "exists", 409, NotRun, "a thing of this name is there already")
	Unreachable  = code(310, "unreachable", 503, Unknown, "the other daemon did not answer")
	NotFounded   = code(311, "not_founded", 503, NotRun, "the fleet is not founded yet")
	Torn         = code(312, "torn_file", 500, NotRun, "a file is torn or foreign")
	OtherMembers = code(313, "other_members", 409, NotRun, "the two cores do not act on the same list of members")
	OtherVersion = code(314, "other_version", 400, NotRun, "a message of another version of the daemons' talk")
	KeyReused    = code(315, "idempotency_key_reused", 409, NotRun, "another order was applied under this idempotency key; this one was not")
	Forgotten    = code(316, "order_forgotten", 409, Unknown, "the order may have been applied: it was first sent before what is remembered")

	NoBuild  = code(330, "no_build", 409, NotRun, "an adapter has no build for the new base")
	Crossed  = code(331, "crossed_retirement", 409, NotRun, "another retirement has the model in hand, or has taken it away")
	PastUndo = code(332, "past_undo", 409, NotRun, "the old base is being dropped, or is gone: there is no way back")

	Syntax   = code(400, "syntax", 400, NotRun, "the command cannot be read")
	Settings = code(401, "bad_settings", 400, NotRun, "a setting or flag is wrong")
	Internal = code(500, "internal", 500, Unknown, "a fault of this program")
)

// Codes returns all codes, sorted by number.
func Codes() []Code {
	all := make([]Code, 0, len(table))
	for _, c := range table {
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Error is an error with a code.
type Error struct {
	Code  Code
	Field string        // path of the invalid field, if any
	At    int           // byte position of the fault in the input, from 1; 0 if none
	Again time.Duration // delay before a retry, if known
	err   error
}

// Error returns the code, the field and position, and the messages of all wrapped layers, the outermost first.
func (f *Error) Error() string {
	text := fmt.Sprintf("%d %s", f.Code.Number, f.Code.Name)
	if f.Field != "" {
		text += " at " + f.Field
	}
	if f.At > 0 {
		text += fmt.Sprintf(" (byte %d)", f.At)
	}
	if f.err != nil {
		text += ": " + f.err.Error()
	}
	return text
}

// Unwrap returns the wrapped error.
func (f *Error) Unwrap() error { return f.err }

// StatusCode returns the code's HTTP status, which go-kit's HTTP transport uses for the response.
func (f *Error) StatusCode() int { return f.Code.Status }

// New returns an error with a code and a formatted message.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, err: oops.Code(c.Name).Errorf(format, args...)}
}

// Wrap adds a message and a code to an error. An error that has a code already keeps that code. Wrap returns nil if err is nil.
func Wrap(err error, c Code, what string) error {
	if err == nil {
		return nil
	}
	var inner *Error
	if errors.As(err, &inner) {
		wrapped := *inner
		wrapped.err = oops.Code(inner.Code.Name).Wrapf(inner.err, "%s", what)
		return &wrapped
	}
	return &Error{Code: c, err: oops.Code(c.Name).Wrapf(err, "%s", what)}
}

// Of returns the Error in err's chain. An error without a code is treated as Internal.
func Of(err error) *Error {
	var f *Error
	if errors.As(err, &f) {
		return f
	}
	return &Error{Code: Internal, err: err}
}

// Is reports whether an error has the code.
func Is(err error, c Code) bool {
	return err != nil && Of(err).Code.Number == c.Number
}

// Body is the JSON form of an error in a response.
type Body struct {
	Error struct {
		Number  int       `json:"number"`
		Name    string    `json:"name"`
		Ran     Execution `json:"ran"`
		Message string    `json:"message"`
		Field   string    `json:"field,omitempty"`
		At      int       `json:"at,omitempty"`
		AgainMs int64     `json:"again_ms,omitempty"`
	} `json:"error"`
}

// ToBody converts an error to its JSON form.
func ToBody(err error) Body {
	f := Of(err)
	var b Body
	b.Error.Number, b.Error.Name, b.Error.Ran = f.Code.Number, f.Code.Name, f.Code.Executed
	b.Error.Field, b.Error.At, b.Error.AgainMs = f.Field, f.At, f.Again.Milliseconds()
	b.Error.Message = f.Code.Text
	if f.err != nil {
		b.Error.Message = f.err.Error()
	}
	return b
}

// FromBody converts the JSON form back to an error. status is the HTTP status of the response, for bodies with an unknown code.
func FromBody(b Body, status int) error {
	c, ok := table[b.Error.Number]
	if !ok {
		return New(Internal, "the peer responded %d %s with an unknown result code", status, http.StatusText(status))
	}
	f := New(c, "%s", b.Error.Message)
	f.Field, f.At, f.Again = b.Error.Field, b.Error.At, time.Duration(b.Error.AgainMs)*time.Millisecond
	return f
}
