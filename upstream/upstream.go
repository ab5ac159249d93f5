package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/turmericdoor/turmericdoor/attempt"
	"github.com/turmericdoor/turmericdoor/document"
)

// The headers by which a call is known and by which an upstream reports its state.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderStage     = "X-Stage"
	HeaderAttempt   = "X-Attempt"
	HeaderLoad      = "X-Load"
	HeaderWaited    = "X-Waited-Us"
	HeaderLeaving   = "X-Leaving"
	HeaderNotRun    = "X-Not-Run"
	HeaderPriority  = "X-Priority"
)

const (
	// maxReply bounds how much of an answer is read, in bytes.
	maxReply = 8 << 20
	// maxIdlePerUpstream is how many connections to one upstream are kept.
	maxIdlePerUpstream = 64
	// dialTimeout is how long an upstream has to take a connection; one that is cut off takes none.
	dialTimeout = 500 * time.Millisecond
	// probeTimeout is how long an upstream that broke off has to take a connection.
	probeTimeout = 200 * time.Millisecond
)

// Client calls upstreams; it is safe for concurrent use.
type Client struct {
	shared *http.Client
	single *http.Client
	dialer *net.Dialer
}

// New returns a client whose connections come from the machine's network.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	shared := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerUpstream, DisableCompression: true}
	// A call that must not run twice gets a connection of its own: net/http may send a request again on a
	// new connection when a kept one turns out to be stale, which RFC 9110, section 9.2.2, allows only for
	// idempotent ones.
	single := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &Client{
		shared: &http.Client{Transport: shared, CheckRedirect: noRedirect},
		single: &http.Client{Transport: single, CheckRedirect: noRedirect},
		dialer: dialer,
	}
}

// noRedirect returns a redirect as the answer, since following it would send the call again.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Do carries out a call within its context.
func (cl *Client) Do(ctx context.Context, call *Call) Outcome {
	request, err := newRequest(ctx, call)
	if err != nil {
		return NotSent{Cause: err.Error()}
	}
	client := cl.shared
	if call.NonIdempotent {
		client = cl.single
	}
	response, err := client.Do(request)
	if err != nil {
		return cl.transportFailure(ctx, call, err, nil)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	if call.Kind == document.Engine {
		return cl.readStream(ctx, call, response)
	}
	return cl.readWhole(ctx, call, response)
}

func newRequest(ctx context.Context, call *Call) (*http.Request, error) {
	path, body := encode(call)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http has no way to send the body again on another connection.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderRequestID, call.Identity.RequestID)
	request.Header.Set(HeaderStage, call.Identity.Stage)
	request.Header.Set(HeaderAttempt, strconv.FormatInt(call.Identity.Attempt, 10))
	request.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	return request, nil
}

// transportFailure tells a call that was never sent from one that may have taken effect.
func (cl *Client) transportFailure(ctx context.Context, call *Call, err error, tokens []string) Outcome {
	operation := &net.OpError{}
	if errors.As(err, &operation) && operation.Op == "dial" {
		return NotSent{Cause: err.Error()}
	}
	if ctx.Err() != nil {
		return Broken{Cause: ctx.Err().Error(), Tokens: tokens}
	}
	return Broken{Cause: err.Error(), Died: cl.died(ctx, call.Address), Tokens: tokens}
}

// died reports whether the upstream's machine answers that its process is gone. An upstream that can't be
// reached at all was taken back or cut off, which says nothing about the request.
func (cl *Client) died(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	connection, err := cl.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = connection.Close()
	return false
}

// Reachable reports whether an upstream takes a connection.
func (cl *Client) Reachable(ctx context.Context, address string) bool {
	connection, err := cl.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

func refusal(response *http.Response) Outcome {
	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxDetail))
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		return Refused{
			NotRun:  response.Header.Get(HeaderNotRun) != "",
			Leaving: response.Header.Get(HeaderLeaving) != "", RetryAfter: time.Duration(seconds) * time.Second,
			Load: loadOf(response),
		}
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusConflict, http.StatusNotFound:
		return Rejected{Status: response.StatusCode, Detail: string(detail)}
	default:
		return Broken{Cause: "status " + strconv.Itoa(response.StatusCode) + ": " + string(detail)}
	}
}

// maxDetail bounds how much of an error's text is kept, in bytes.
const maxDetail = 512

func loadOf(response *http.Response) int64 {
	load, err := strconv.ParseInt(response.Header.Get(HeaderLoad), 10, 64)
	if err != nil {
		return -1
	}
	return load
}

func waitedOf(response *http.Response) time.Duration {
	micros, err := strconv.ParseInt(response.Header.Get(HeaderWaited), 10, 64)
	if err != nil || micros < 0 {
		return 0
	}
	return time.Duration(micros) * time.Microsecond
}

func identityOf(response *http.Response) attempt.Identity {
	number, _ := strconv.ParseInt(response.Header.Get(HeaderAttempt), 10, 64)
	return attempt.Identity{
		RequestID: response.Header.Get(HeaderRequestID), Stage: response.Header.Get(HeaderStage), Attempt: number,
	}
}

// replied fills what every answer has in common.
func replied(response *http.Response, payload Payload) Replied {
	return Replied{
		Identity: identityOf(response), Payload: payload, Load: loadOf(response), Waited: waitedOf(response),
		Leaving: response.Header.Get(HeaderLeaving) != "",
	}
}

func (cl *Client) readWhole(ctx context.Context, call *Call, response *http.Response) Outcome {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply+1))
	if err != nil {
		return cl.transportFailure(ctx, call, err, nil)
	}
	if len(body) > maxReply {
		return Garbage{Cause: "answer larger than " + strconv.Itoa(maxReply) + " bytes"}
	}
	if !json.Valid(body) {
		return Garbage{Cause: "answer is not JSON"}
	}
	payload, cause := decode(call, body)
	if cause != "" {
		return Garbage{Cause: cause}
	}
	return replied(response, payload)
}
