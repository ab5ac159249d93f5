package peer

import (
	"context"
	"time"

	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// Limits are the rate limits of upstreams, for whose permits instances ask each other.
type Limits interface {
	// IssuePermit decides on another instance's request for a permit.
	IssuePermit(request *wire.PermitRequest) *wire.PermitReply
	// ApplyReport applies what an answer to another instance announced.
	ApplyReport(report *wire.LimitReport) *wire.LimitReply
	// News returns the limits for a heartbeat, all of them for a full exchange.
	News(full bool) []*wire.UpstreamNotice
	// AddNews adds the limits in a heartbeat.
	AddNews(news []*wire.UpstreamNotice)
}

// AcquirePermit decides on another instance's request for a permit.
func (pr *Peer) AcquirePermit(_ context.Context, request *wire.PermitRequest) (*wire.PermitReply, error) {
	if pr.limits == nil {
		return &wire.PermitReply{Outcome: wire.PermitOutcome_PermitNotOwner}, nil
	}
	return pr.limits.IssuePermit(request), nil
}

// ReportLimit applies what an answer to another instance announced.
func (pr *Peer) ReportLimit(_ context.Context, report *wire.LimitReport) (*wire.LimitReply, error) {
	if pr.limits == nil {
		return &wire.LimitReply{}, nil
	}
	return pr.limits.ApplyReport(report), nil
}

// AskPermit asks another instance for a permit.
func (pr *Peer) AskPermit(ctx context.Context, owner member.Member, request *wire.PermitRequest) (*wire.PermitReply, error) {
	client, err := pr.client(owner.Address)
	if err != nil {
		return nil, err
	}
	return client.AcquirePermit(ctx, request)
}

// SendReport tells another instance what an answer announced.
func (pr *Peer) SendReport(ctx context.Context, owner member.Member, report *wire.LimitReport) (*wire.LimitReply, error) {
	client, err := pr.client(owner.Address)
	if err != nil {
		return nil, err
	}
	return client.ReportLimit(ctx, report)
}

// Share returns the number of live instances as a part of those that may be at work: an instance that was declared dead within
// a time may only be cut off.
func (pr *Peer) Share(within time.Duration) float64 {
	now := pr.timers.Now()
	pr.mu.Lock()
	defer pr.mu.Unlock()
	live := len(pr.members.Live())
	return float64(live) / float64(live+pr.members.LostCount(now, within))
}
