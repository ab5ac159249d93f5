package gather_test

import (
	"context"
	"io"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/turmericdoor/turmericdoor/gather"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// scriptedStream is the client's end of a call that gets the replies and then ends without an error.
type scriptedStream struct {
	grpc.ClientStream
	replies []*wire.GatherReply
}

// Recv returns the next reply.
func (ss *scriptedStream) Recv() (*wire.GatherReply, error) {
	if len(ss.replies) == 0 {
		return nil, io.EOF
	}
	next := ss.replies[0]
	ss.replies = ss.replies[1:]
	return next, nil
}

// TestPartOfAJobIsNotFinished guards against a job that counts as finished although its owner's replies lack results of
// some items, or hold one result for two of them.
func TestPartOfAJobIsNotFinished(t *testing.T) {
	accepted := &wire.GatherReply{Accepted: true}
	results := func(handles ...string) *wire.GatherReply {
		reply := &wire.GatherReply{}
		for _, handle := range handles {
			reply.Results = append(reply.Results, &wire.StageResult{Handle: handle, FailureDomain: "b"})
		}
		return reply
	}
	for name, replies := range map[string][]*wire.GatherReply{
		"the end of the stream before a reply":     {},
		"the end of the stream after the accept":   {accepted},
		"an empty reply":                           {accepted, results()},
		"a result that is missing":                 {accepted, results("u/1/r")},
		"a result too many":                        {accepted, results("u/1/r", "u/2/r", "u/3/r")},
		"a result without a handle":                {accepted, results("u/1/r", "")},
		"one result for two items":                 {accepted, results("u/1/r", "u/1/r")},
		"an empty reply in place of an acceptance": {results()},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, []string{"b1", "b2", "a1"}, func(ctx context.Context, fl *fleet, _ *fakes) {
				fl.scripted = map[string][]*wire.GatherReply{owner(fl): replies}
				assertFinished(t, fl.clients["a1"].Run(ctx, "b", newJob("r", 2)), "r", 2)
			})
		})
	}
}

// TestAcceptanceWithoutWaitIsKeepalive guards against an acceptance whose expected wait rounds to 0 ms and whose upcoming
// items are ignored, or a keepalive that clears them.
func TestAcceptanceWithoutWaitIsKeepalive(t *testing.T) {
	replies := []*wire.GatherReply{
		{Accepted: true, Upcoming: []*wire.PoolItems{{Pool: "p", Items: 50, Soon: 50}}},
		{Accepted: true},
		{Results: []*wire.StageResult{{Handle: "u/1/r", FailureDomain: "b"}}},
	}
	runFleet(t, []string{"b1", "b2", "a1"}, func(ctx context.Context, fl *fleet, _ *fakes) {
		fl.scripted = map[string][]*wire.GatherReply{owner(fl): replies}
		cl := fl.clients["a1"]
		assertFinished(t, cl.Run(ctx, "b", newJob("r", 1)), "r", 1)
		must.Greater(t, cl.ExpectedWait("p", "b", gather.JobClass{}), cl.ProjectedWait("p", "b", gather.JobClass{}))
	})
}
