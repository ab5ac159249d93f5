package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/turmericdoor/turmericdoor/placement"
	"github.com/turmericdoor/turmericdoor/quarantine"
	"github.com/turmericdoor/turmericdoor/readbudget"
	"github.com/turmericdoor/turmericdoor/readlimit"
	"github.com/turmericdoor/turmericdoor/response"
)

const (
	// maxBufferedResponse bounds a response that is read completely before it is forwarded, in bytes.
	maxBufferedResponse = 8 << 20
	// bufferedBudget bounds all such responses at one time, in bytes.
	bufferedBudget = 16 << 20
)

// forwardBuffered reads the complete response, then forwards it or retries the request.
func (at *attempt) forwardBuffered(ctx context.Context, reply *UpstreamResponse) attemptResult {
	rn := at.run
	if reply.Length > maxBufferedResponse && rn.request.Method != http.MethodHead {
		return at.handleLost(ctx, readlimit.Exceeded{Limit: maxBufferedResponse}.Error())
	}
	body, release, err := rn.buffered.All(at.ctx, reply.Body, maxBufferedResponse)
	if errors.Is(err, readbudget.ErrExhausted) {
		return at.handleNoMemory(ctx, err)
	}
	if err != nil {
		return at.handleLost(ctx, "response is incomplete: "+err.Error())
	}
	defer release()
	at.recordFirstByte()
	failed := reply.Status >= http.StatusInternalServerError
	result := placement.Served
	if failed {
		result = placement.Failed
	}
	withheld := promisesNotRun(reply.Status)
	if (failed || withheld) && rn.takeRetry(ctx) {
		at.finish(result, "Error", fmt.Sprintf("status=%d", reply.Status))
		return attemptResult{outcome: Failed{Cause: fmt.Sprintf("upstream responded with status %d", reply.Status)}, tryNext: true}
	}
	rn.reportSuccess()
	if reply.Status < http.StatusMultipleChoices {
		at.reportPartsSuccess()
	}
	if withheld {
		rn.detail = fmt.Sprintf("status=%d withheld: the request may have run", reply.Status)
		at.finish(result, "Error", rn.detail)
		return attemptResult{outcome: Failed{Cause: rn.detail}}
	}
	at.finish(result, "Answered", fmt.Sprintf("status=%d bytes=%d", reply.Status, len(body)))
	rn.detail = fmt.Sprintf("status=%d", reply.Status)
	caller := at.begin(response.Head{Attempt: at.number, Status: reply.Status, Header: reply.Header, Length: int64(len(body))})
	if err := caller.Write(body); err != nil {
		rn.detail += " " + err.Error()
		return attemptResult{outcome: Gone{}}
	}
	if err := caller.Complete(); err != nil {
		return attemptResult{outcome: Failed{Cause: err.Error()}}
	}
	return attemptResult{outcome: Answered{}}
}

// handleNoMemory handles an attempt that ended while its answer waited for memory, which is no fault of the upstream.
func (at *attempt) handleNoMemory(ctx context.Context, cause error) attemptResult {
	rn := at.run
	at.finish(placement.Abandoned, "Abandoned", cause.Error())
	if ctx.Err() != nil {
		return attemptResult{outcome: rn.contextOutcome(ctx)}
	}
	rn.detail = cause.Error()
	return attemptResult{outcome: Failed{Cause: cause.Error()}, tryNext: rn.takeRetry(ctx)}
}

// reportSuccess reports that an upstream has executed a suspected request and lives.
func (rn *run) reportSuccess() {
	if rn.Crashes.Status(rn.fingerprint) != quarantine.Clear {
		rn.Crashes.ReportSuccess(rn.fingerprint)
	}
}
