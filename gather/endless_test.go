package gather_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/turmericdoor/turmericdoor/schema/wire"
)

const (
	// maxReplies is the number of replies that a client may read of one call.
	maxReplies = 1000
	// sentReplies is the number of replies after which the instance below stops, so that the test ends.
	sentReplies = 100 * maxReplies
)

// endlessReplies is a call that is answered with the same reply again and again.
type endlessReplies struct {
	grpc.ClientStream
	reply    *wire.GatherReply
	received atomic.Int64
}

func (er *endlessReplies) Recv() (*wire.GatherReply, error) {
	if er.received.Add(1) > sentReplies {
		return nil, io.EOF
	}
	return er.reply, nil
}

// TestEndlessReplies guards against an instance whose replies take up the processor without end, or are no result.
func TestEndlessReplies(t *testing.T) {
	for name, reply := range map[string]*wire.GatherReply{"accepted": {Accepted: true}, "nothing": {}} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, []string{"a1", "b1"}, func(ctx context.Context, fl *fleet, _ *fakes) {
				replies := &endlessReplies{reply: reply}
				fl.endless["b1"] = replies
				assertFinished(t, fl.clients["a1"].Run(ctx, "b", newJob("r", 2)), "r", 2)
				must.Between(t, 1, replies.received.Load(), maxReplies+1)
			})
		})
	}
}
