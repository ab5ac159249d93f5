package instancecore_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/instancecore"
	"github.com/turmericdoor/turmericdoor/order"
	"github.com/turmericdoor/turmericdoor/peer"
	"github.com/turmericdoor/turmericdoor/schema/settings"
	"github.com/turmericdoor/turmericdoor/table"
	"github.com/turmericdoor/turmericdoor/timer"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// instantUpstream answers every call immediately.
type instantUpstream struct{}

func (instantUpstream) Do(_ context.Context, call *upstream.Call) upstream.Outcome {
	return upstream.Replied{Identity: call.Identity, Payload: call.Payload, Load: 1}
}

func (instantUpstream) ReadEngine(context.Context, string) (order.State, error) {
	return order.State{}, nil
}

func (instantUpstream) Reachable(context.Context, string) bool { return true }

func (instantUpstream) OrderEngine(context.Context, string, int64, order.State) error { return nil }

// emptyStore has no rows and accepts every commit.
type emptyStore struct{}

func (emptyStore) Read(context.Context, ...string) table.Outcome { return table.Rows{} }

func (emptyStore) List(context.Context, string) table.Outcome { return table.Rows{} }

func (emptyStore) Commit(context.Context, table.Transaction) table.Outcome { return table.Committed{} }

const documentText = `[Rank Urgent]
Precedence = 0
DeadlineMs = 4000
[Pool notes]
Kind = Service
Path = /
[Upstream note]
Pool = notes
Address = 10.0.0.1:1
FailureDomain = a
Slots = 100
[Stage note]
Pool = notes
[Pipeline note]
Stages = note
`

// BenchmarkServe measures how an instance without sockets handles a request of one stage.
func BenchmarkServe(b *testing.B) {
	cr := instancecore.New(instancecore.Parts{
		Settings: &settings.Settings{
			Instance:  &settings.Instance{Id: "i", FailureDomain: "a", PeerAddress: "10.0.0.9:1"},
			Platform:  &settings.Platform{CallTimeoutMs: 100, PollIntervalMs: 60000},
			Peers:     &settings.Peers{HeartbeatMs: 10000, SuspectAfterMs: 30000, DeadAfterMs: 30000, Partners: 1},
			Operators: &settings.Operators{KeyDigest: digest.OfKey("k").String()},
			Limits:    &settings.Limits{MaxBodyBytes: 1 << 20, MaxWaiting: 100, TimelineEvents: 1024},
		},
		Timers: timer.New(), Random: entropy.New(1), Store: emptyStore{}, UpstreamClient: instantUpstream{},
		EngineClient: instantUpstream{}, Prober: instantUpstream{}, Dialer: func(string) (peer.Link, error) { return nil, context.Canceled },
	})
	cr.Start()
	defer cr.Kill()
	text := documentText + "[Organisation o]\nKeyDigests = " + digest.OfKey("key").String() + "\n"
	cr.DocumentFetched(document.Text{Revision: 1, Teams: []document.TeamText{{Team: "t", Revision: 1, Text: text}}})
	handler := cr.CallerHandler()
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequest("POST", "/v1/pipelines/note", strings.NewReader(`{"Rank":"Urgent","Input":1}`))
		request.Header.Set("Authorization", "Bearer key")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if recorder.Code != 200 {
			b.Fatal(recorder.Body.String())
		}
	}
}
