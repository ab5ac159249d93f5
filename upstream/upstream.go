package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/turmericdoor/turmericdoor/attempt"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/readbudget"
	"github.com/turmericdoor/turmericdoor/readlimit"
	"github.com/turmericdoor/turmericdoor/resetguard"
)

// The headers that identify a call, and those with which an upstream reports its state.
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
	// maxHeadBytes limits the size of the head of an answer, and maxReplyBytes that of its body.
	maxHeadBytes  = 64 << 10
	maxReplyBytes = 8 << 20
	// replyBudget limits the answers of all calls at one time, in bytes.
	replyBudget = 16 << 20
	// maxIdleConnsPerUpstream limits the idle connections that are kept to one upstream.
	maxIdleConnsPerUpstream = 64
	// dialTimeout is the time for a connection attempt; attempts to an upstream that the network cuts off time out.
	dialTimeout = 500 * time.Millisecond
	// probeTimeout is the time for the connection attempt that checks whether an upstream's process has died.
	probeTimeout = 200 * time.Millisecond
)

// Client sends calls to upstreams; it is safe for concurrent use.
type Client struct {
	// pooled reuses connections, and unpooled makes a new connection for each call.
	pooled   *http.Client
	unpooled *http.Client
	dialer   *net.Dialer
	// answers is the memory for answers.
	answers *readbudget.Budget
}

// New returns a client that connects over the network of its host.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	pooled := &http.Transport{
		DialContext: resetguard.Guarded(dialer.DialContext), MaxIdleConnsPerHost: maxIdleConnsPerUpstream, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	// A call that must not run twice gets a new connection: net/http may resend a request on another connection if
	// the reused one turns out to be stale, which RFC 9110, section 9.2.2, allows only for idempotent requests.
	unpooled := &http.Transport{
		DialContext: resetguard.Guarded(dialer.DialContext), DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Client{
		pooled:   &http.Client{Transport: pooled, CheckRedirect: keepRedirect},
		unpooled: &http.Client{Transport: unpooled, CheckRedirect: keepRedirect},
		dialer:   dialer,
		answers:  readbudget.New(replyBudget),
	}
}

// keepRedirect makes the client return a redirect as the answer, because following it would send the call again.
func keepRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Do sends a call and returns how it ended.
func (cl *Client) Do(ctx context.Context, call *Call) Outcome {
	request, err := newRequest(ctx, call)
	if err != nil {
		return NotSent{Cause: err.Error()}
	}
	client := cl.pooled
	if call.NonIdempotent {
		client = cl.unpooled
	}
	response, err := client.Do(request)
	if err != nil {
		return cl.transportFailure(ctx, call, err, nil)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusOutcome(call, response)
	}
	if call.Kind == document.Engine {
		return cl.readStream(ctx, call, response)
	}
	return cl.readBody(ctx, call, response)
}

func newRequest(ctx context.Context, call *Call) (*http.Request, error) {
	path, body := encode(call)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http can't send the body again on another connection.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	for name, value := range identityHeaders(call) {
		request.Header.Set(name, value)
	}
	request.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	return request, nil
}

// identityHeaders returns the headers that identify a call.
func identityHeaders(call *Call) map[string]string {
	return map[string]string{
		HeaderRequestID: call.Identity.RequestID, HeaderStage: call.Identity.Stage,
		HeaderAttempt: strconv.FormatInt(call.Identity.Attempt, 10),
	}
}

// transportFailure returns NotSent for a call whose connection attempt failed, and otherwise Broken, because the
// call may have taken effect.
func (cl *Client) transportFailure(ctx context.Context, call *Call, err error, tokens []string) Outcome {
	opErr := &net.OpError{}
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return NotSent{Cause: err.Error()}
	}
	if ctx.Err() != nil {
		return Broken{Cause: ctx.Err().Error(), Tokens: tokens}
	}
	return Broken{Cause: err.Error(), Died: cl.processDied(ctx, call.Address), Tokens: tokens}
}

// processDied reports whether the upstream's host refuses connections, which means that its process is gone. An
// upstream that can't be reached at all was withdrawn by the platform or cut off from the network, which is no
// evidence that the request crashed it.
func (cl *Client) processDied(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	connection, err := cl.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = connection.Close()
	return false
}

// Reachable reports whether an upstream accepts a connection.
func (cl *Client) Reachable(ctx context.Context, address string) bool {
	connection, err := cl.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

// statusOutcome returns the outcome of a call that was answered with a status other than 200. An answer that does not end
// or belongs to another call states nothing.
func statusOutcome(call *Call, response *http.Response) Outcome {
	if namesAnother(call, response) {
		return Broken{Cause: "answer belongs to another call"}
	}
	detail, err := readlimit.All(response.Body, maxErrorBytes)
	if err != nil && !readlimit.BrokeOff(err) {
		return Broken{Cause: err.Error()}
	}
	detail = detail[:min(len(detail), maxDetailBytes)]
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		return Refused{
			NotRun:  response.Header.Get(HeaderNotRun) != "",
			Leaving: response.Header.Get(HeaderLeaving) != "", RetryAfter: time.Duration(seconds) * time.Second,
			Load: reportedLoad(response),
		}
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusConflict, http.StatusNotFound:
		return Rejected{Status: response.StatusCode, Detail: string(detail)}
	default:
		return Broken{Cause: "status " + strconv.Itoa(response.StatusCode) + ": " + string(detail)}
	}
}

const (
	// maxErrorBytes limits the body of an error answer, and maxDetailBytes how much of it is kept.
	maxErrorBytes  = 64 << 10
	maxDetailBytes = 512
)

// reportedLoad returns the load that the upstream reported, or -1 if it reported none.
func reportedLoad(response *http.Response) int64 {
	load, err := strconv.ParseInt(response.Header.Get(HeaderLoad), 10, 64)
	if err != nil {
		return -1
	}
	return load
}

// reportedWait returns the time that the call waited inside the upstream, or 0 if it reported none.
func reportedWait(response *http.Response) time.Duration {
	micros, err := strconv.ParseInt(response.Header.Get(HeaderWaited), 10, 64)
	if err != nil || micros < 0 {
		return 0
	}
	return time.Duration(micros) * time.Microsecond
}

func reportedIdentity(response *http.Response) attempt.Identity {
	number, _ := strconv.ParseInt(response.Header.Get(HeaderAttempt), 10, 64)
	return attempt.Identity{
		RequestID: response.Header.Get(HeaderRequestID), Stage: response.Header.Get(HeaderStage), Attempt: number,
	}
}

// namesAnother reports whether an answer names another call; one that names none may belong to this call.
func namesAnother(call *Call, response *http.Response) bool {
	for name, wanted := range identityHeaders(call) {
		if value := response.Header.Get(name); value != "" && value != wanted {
			return true
		}
	}
	return false
}

// newReplied returns the outcome of a complete answer with the state that its headers report.
func newReplied(response *http.Response, payload Payload) Replied {
	return Replied{
		Identity: reportedIdentity(response), Payload: payload, Load: reportedLoad(response), Waited: reportedWait(response),
		Leaving: response.Header.Get(HeaderLeaving) != "",
	}
}

func (cl *Client) readBody(ctx context.Context, call *Call, response *http.Response) Outcome {
	body, release, err := cl.answers.All(ctx, response.Body, maxReplyBytes)
	exceeded := readlimit.Exceeded{}
	switch {
	case errors.As(err, &exceeded):
		return Garbage{Cause: err.Error()}
	case err != nil:
		return cl.transportFailure(ctx, call, err, nil)
	}
	defer release()
	if !json.Valid(body) {
		return Garbage{Cause: "answer is not JSON"}
	}
	if mayBeCut(response, body) {
		return Garbage{Cause: "answer may have been cut inside a number"}
	}
	payload, cause := decode(call, body)
	if cause != "" {
		return Garbage{Cause: cause}
	}
	return newReplied(response, payload)
}

// mayBeCut reports whether valid JSON may be the beginning of a longer answer: a number that ends with its connection
// instead of a length, a last chunk or a character after it.
func mayBeCut(response *http.Response, body []byte) bool {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || len(body) == 0 {
		return false
	}
	last := body[len(body)-1]
	return '0' <= last && last <= '9'
}
