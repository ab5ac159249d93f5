package tableservice

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/turmericdoor/turmericdoor/readbudget"
	"github.com/turmericdoor/turmericdoor/readlimit"
	"github.com/turmericdoor/turmericdoor/resetguard"
	"github.com/turmericdoor/turmericdoor/table"
)

// ReadRequest is the body of POST /v1/read. It asks for the rows of Keys or, if Keys is empty, for all rows whose keys
// begin with Prefix.
type ReadRequest struct {
	Keys   []string
	Prefix string
}

// ReadReply is the response to a ReadRequest.
type ReadReply struct {
	Rows []table.Row
}

// CommitReply is the response to POST /v1/commit, whose body is a table.Transaction. Conflicts lists the keys of the
// failed conditions.
type CommitReply struct {
	Committed bool
	Conflicts []string
}

// ListedInstance is one entry of the instance list that GET /v1/instances returns.
type ListedInstance struct {
	Name string
	// Incarnation is raised when an instance that had left comes back under the same name; Leaving applies to it and to
	// earlier ones.
	Incarnation int64
	Leaving     bool
}

// Client is a table.Store over HTTP; it never resends a request.
type Client struct {
	address string
	client  *http.Client
	// answers is the memory for responses.
	answers *readbudget.Budget
}

const (
	// maxHeadBytes, maxReplyBytes and maxErrorBytes limit the head of a response, the body of a success and that of a failure.
	maxHeadBytes  = 64 << 10
	maxReplyBytes = 16 << 20
	maxErrorBytes = 64 << 10
	// replyBudget limits the responses of all calls at one time, in bytes.
	replyBudget = 32 << 20
)

// New returns a client for the table service at address, an IP address and port.
func New(address string) *Client {
	dialer := &net.Dialer{}
	transport := &http.Transport{DialContext: resetguard.Guarded(dialer.DialContext), MaxIdleConnsPerHost: maxIdleConns, MaxResponseHeaderBytes: maxHeadBytes}
	return &Client{address: address, client: &http.Client{Transport: transport}, answers: readbudget.New(replyBudget)}
}

// maxIdleConns is the maximum number of idle connections kept for later calls.
const maxIdleConns = 16

// Read returns table.Rows or table.Unavailable.
func (cl *Client) Read(ctx context.Context, keys ...string) table.Outcome {
	return cl.read(ctx, ReadRequest{Keys: keys})
}

// List returns table.Rows or table.Unavailable.
func (cl *Client) List(ctx context.Context, prefix string) table.Outcome {
	return cl.read(ctx, ReadRequest{Prefix: prefix})
}

func (cl *Client) read(ctx context.Context, request ReadRequest) table.Outcome {
	reply := receivedRows{}
	if err := cl.post(ctx, "/v1/read", request, &reply); err != nil {
		return table.Unavailable{Cause: err.Error()}
	}
	rows, whole := reply.decode()
	if !whole {
		return table.Unavailable{Cause: "the reply lacks rows or their versions"}
	}
	return table.Rows{Rows: rows}
}

// receivedRows is a ReadReply as received, in which missing rows can be told from none.
type receivedRows struct {
	Rows json.RawMessage
}

// decode returns the rows, and false if they or the version of one is missing.
func (rr receivedRows) decode() ([]table.Row, bool) {
	rows := []table.Row{}
	if json.Unmarshal(rr.Rows, &rows) != nil {
		return nil, false
	}
	for _, row := range rows {
		if row.Version <= 0 {
			return nil, false
		}
	}
	return rows, true
}

// Commit returns table.Committed, table.Conflict, table.Unknown or table.Unavailable.
func (cl *Client) Commit(ctx context.Context, transaction table.Transaction) table.Outcome {
	reply := receivedCommit{}
	err := cl.post(ctx, "/v1/commit", transaction, &reply)
	switch {
	case err == nil && reply.Committed == nil:
		return table.Unknown{Cause: "the reply doesn't say whether the transaction was committed"}
	case err == nil && *reply.Committed:
		return table.Committed{}
	case err == nil:
		return table.Conflict{Keys: reply.Conflicts}
	case isNotExecuted(err):
		return table.Unavailable{Cause: err.Error()}
	default:
		return table.Unknown{Cause: err.Error()}
	}
}

// receivedCommit is a CommitReply as received, in which a missing result can be told from a conflict.
type receivedCommit struct {
	Committed *bool
	Conflicts []string
}

// Instances returns the instance list.
func (cl *Client) Instances(ctx context.Context) ([]ListedInstance, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cl.address+"/v1/instances", nil)
	if err != nil {
		return nil, err
	}
	list := []ListedInstance{}
	err = cl.do(request, &list)
	return list, err
}

// StatusError is returned for a response with a status other than 200.
type StatusError struct {
	Status int
}

// Error returns a message with the status.
func (se StatusError) Error() string {
	return fmt.Sprintf("platform answered with status %d", se.Status)
}

// isNotExecuted reports whether a call failed while connecting, or was rejected by the service with status 503 or 429;
// in both cases it had no effect.
func isNotExecuted(err error) bool {
	status := StatusError{}
	if errors.As(err, &status) {
		return status.Status == http.StatusServiceUnavailable || status.Status == http.StatusTooManyRequests
	}
	operation := &net.OpError{}
	return errors.As(err, &operation) && operation.Op == "dial"
}

func (cl *Client) post(ctx context.Context, path string, body, reply any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+cl.address+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	// Without GetBody, net/http can't resend the body on another connection.
	request.GetBody = nil
	return cl.do(request, reply)
}

func (cl *Client) do(request *http.Request, reply any) error {
	response, err := cl.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError(response)
	}
	encoded, release, err := cl.answers.All(request.Context(), response.Body, maxReplyBytes)
	if err != nil {
		return err
	}
	defer release()
	return json.Unmarshal(encoded, reply)
}

// statusError returns a StatusError for a failure that ends, and another error for one that does not and states nothing.
func statusError(response *http.Response) error {
	if err := readlimit.Discard(response.Body, maxErrorBytes); err != nil && !readlimit.BrokeOff(err) {
		return err
	}
	return StatusError{Status: response.StatusCode}
}
