package caller

import (
	"encoding/json"
	"net/http"

	"github.com/turmericdoor/turmericdoor/answer"
)

// RequestBody is the body of a caller's request. Input is a JSON string, or any JSON value if the first stage calls
// a plain service. DeadlineMs counts from the request's arrival and can only shorten the rank's deadline.
type RequestBody struct {
	RequestID      string `json:"RequestId"`
	Rank           string
	DeadlineMs     int64
	Input          json.RawMessage
	IdempotencyKey string
	Stream         bool
}

// AnswerBody is the body of an answer to a caller, and the data of the last event of a stream.
type AnswerBody struct {
	RequestID string `json:"RequestId"`
	Outcome   answer.Outcome
	Output    json.RawMessage      `json:",omitempty"`
	Tokens    int                  `json:",omitempty"`
	Stages    []answer.StageReport `json:",omitempty"`
	Revision  int64                `json:",omitempty"`
	Brownout  bool                 `json:",omitempty"`
	Replayed  bool                 `json:",omitempty"`
	Error     *ErrorBody           `json:",omitempty"`
}

// ErrorBody states why a request has no output. RetryAfterMs is 0 if a retry is of no use.
type ErrorBody struct {
	Code         answer.Code
	Message      string
	RetryAfterMs int64
}

// TokenBody is the data of a Token event of a stream.
type TokenBody struct {
	Index int
	Text  string
}

func newAnswerBody(ended answer.Answer) AnswerBody {
	body := AnswerBody{
		RequestID: ended.RequestID, Outcome: ended.Outcome, Output: ended.Output, Tokens: ended.Tokens,
		Stages: ended.Stages, Revision: ended.Revision, Brownout: ended.Brownout, Replayed: ended.Replayed,
	}
	if ended.Outcome != answer.Answered {
		body.Error = &ErrorBody{Code: ended.Code, Message: ended.Message, RetryAfterMs: ended.RetryAfter.Milliseconds()}
	}
	return body
}

// httpStatus returns the HTTP status of an answer.
func httpStatus(ended answer.Answer) int {
	if ended.Outcome == answer.Answered {
		return http.StatusOK
	}
	switch ended.Code {
	case answer.BadRequest, answer.UnknownRank, answer.DeadlinePassed, answer.IdempotencyKeyMissing:
		return http.StatusBadRequest
	case answer.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case answer.UnknownKey:
		return http.StatusUnauthorized
	case answer.PipelineNotAllowed:
		return http.StatusForbidden
	case answer.UnknownPipeline:
		return http.StatusNotFound
	case answer.IdempotencyKeyReused, answer.InProgressOrUnknown:
		return http.StatusConflict
	case answer.Quarantined, answer.UpstreamRejected:
		return http.StatusUnprocessableEntity
	case answer.Overloaded, answer.QueueFull, answer.SuspectBusy:
		return http.StatusTooManyRequests
	case answer.DeadlineExceeded, answer.DeadlineCannotBeMet:
		return http.StatusGatewayTimeout
	case answer.UpstreamFailed:
		return http.StatusBadGateway
	case answer.NoCode, answer.PlatformUnavailable, answer.InstanceStopping, answer.InstanceNotReady, answer.NoUpstream, answer.CallerGone:
		return http.StatusServiceUnavailable
	}
	return http.StatusServiceUnavailable
}
