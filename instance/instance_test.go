package instance_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/answer"
	"github.com/turmericdoor/turmericdoor/emulator"
	"github.com/turmericdoor/turmericdoor/operator"
)

// plain leaves a cluster's default settings as they are.
func plain(*cluster) {}

// rollingRestart replaces every instance in turn under load and returns the balancer with its counts.
func rollingRestart(cl *cluster, end func(member *running)) *balancer {
	bl := &balancer{cl: cl, ready: cl.ready()}
	ctx, cancel := context.WithCancel(context.Background())
	watched, loaded := make(chan struct{}), make(chan struct{})
	go func() { defer close(watched); bl.watch(ctx) }()
	go func() { defer close(loaded); bl.load(ctx) }()
	for _, member := range cl.all() {
		before := len(cl.ready())
		end(member)
		cl.start()
		cl.eventually("the replacement is ready", func() bool { return len(cl.ready()) >= before })
	}
	cancel()
	<-watched
	<-loaded
	return bl
}

// load sends requests at a fixed rate until ctx ends, then waits for their answers.
func (bl *balancer) load(ctx context.Context) {
	group := sync.WaitGroup{}
	for ctx.Err() == nil {
		group.Go(bl.send)
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
}

func TestGracefulStop(t *testing.T) {
	t.Run("a rolling restart under load fails no request", func(t *testing.T) {
		withCluster(t, 3, plain, func(cl *cluster) {
			bl := rollingRestart(cl, func(member *running) {
				member.stop()
				must.NoError(t, <-member.done)
				member.done <- nil
			})
			must.SliceEmpty(t, bl.failuresWithin(cl.notice()), must.Sprintf("%+v", bl.failures))
			t.Logf("%d answered; beyond the notice: %+v", bl.succeeded, bl.failures)
			must.Positive(t, bl.succeeded)
		})
	})
	t.Run("without a notice period the check finds failed requests", func(t *testing.T) {
		withoutNotice := func(cl *cluster) { cl.noticeMs, cl.checkInterval = 0, 200*time.Millisecond }
		withCluster(t, 3, withoutNotice, func(cl *cluster) {
			bl := rollingRestart(cl, func(member *running) {
				member.stop()
				must.NoError(t, <-member.done)
				member.done <- nil
			})
			must.SliceNotEmpty(t, bl.failures)
		})
	})
	t.Run("a request that takes longer than the notice period is answered", func(t *testing.T) {
		withCluster(t, 1, plain, func(cl *cluster) {
			for _, standin := range cl.standins {
				standin.SetFaults(emulator.Faults{SlowMs: 20})
			}
			answered := make(chan string, 1)
			go func() {
				_, got, err := cl.post(cl.members[0], "draft-commission", "kumasi-guild-key", `{"Rank":"Background","Input":"long"}`)
				answered <- fmt.Sprint(got.Outcome, err)
			}()
			cl.eventually("the request is in flight", func() bool {
				return cl.standins["drafting-1"].Calls()+cl.standins["drafting-2"].Calls()+cl.standins["drafting-3"].Calls() > 0
			})
			cl.members[0].stop()
			must.Eq(t, "Answered<nil>", <-answered)
		})
	})
	t.Run("a stop request of an operator ends the instance", func(t *testing.T) {
		withCluster(t, 1, plain, func(cl *cluster) {
			must.NoError(t, cl.operate(cl.members[0], http.MethodPost, "/v1/stop", "fleet-key", nil, &struct{}{}))
			must.NoError(t, <-cl.members[0].done)
			cl.members[0].done <- nil
		})
	})
}

// TestBadInput sends invalid requests and checks that each is refused with its error code before it runs.
func TestBadInput(t *testing.T) {
	withCluster(t, 1, plain, func(cl *cluster) {
		cases := map[string]struct {
			pipeline, key, body string
			status              int
			code                answer.Code
		}{
			"a wrong key":               {"draft-commission", "nope", `{}`, 401, answer.UnknownKey},
			"malformed JSON":            {"draft-commission", "kumasi-guild-key", `{"Rank":`, 400, answer.BadRequest},
			"an unknown field":          {"draft-commission", "kumasi-guild-key", `{"Colour":1}`, 400, answer.BadRequest},
			"two values":                {"draft-commission", "kumasi-guild-key", `{} {}`, 400, answer.BadRequest},
			"a missing rank":            {"draft-commission", "kumasi-guild-key", `{"Input":"a"}`, 400, answer.UnknownRank},
			"an unknown pipeline":       {"nowhere", "kumasi-guild-key", `{"Rank":"Urgent","Input":"a"}`, 404, answer.UnknownPipeline},
			"a past deadline":           {"draft-commission", "kumasi-guild-key", `{"Rank":"Urgent","Input":"a","DeadlineMs":-1}`, 400, answer.DeadlinePassed},
			"an impossible deadline":    {"draft-commission", "kumasi-guild-key", `{"Rank":"Urgent","Input":"a","DeadlineMs":1}`, 504, answer.DeadlineCannotBeMet},
			"an input that is not text": {"draft-commission", "kumasi-guild-key", `{"Rank":"Urgent","Input":1}`, 400, answer.BadRequest},
			"no idempotency key":        {"record-deposit", "kumasi-guild-key", `{"Rank":"Urgent","Input":1}`, 400, answer.IdempotencyKeyMissing},
			"an invalid request id":     {"draft-commission", "kumasi-guild-key", `{"Rank":"Urgent","Input":"a","RequestId":"a b"}`, 400, answer.BadRequest},
			"a body that is too large":  {"draft-commission", "kumasi-guild-key", `{"Rank":"Urgent","Input":"` + strings.Repeat("a", 1<<17) + `"}`, 413, answer.BodyTooLarge},
		}
		for name, tc := range cases {
			t.Run(name, func(t *testing.T) {
				status, got, err := cl.post(cl.members[0], tc.pipeline, tc.key, tc.body)
				must.NoError(t, err)
				must.Eq(t, tc.status, status)
				must.Eq(t, answer.NotRun, got.Outcome)
				must.Eq(t, tc.code, got.Error.Code)
				must.NotEq(t, "", got.Error.Message)
			})
		}
	})
}

func TestUpstreamFaults(t *testing.T) {
	withCluster(t, 1, plain, func(cl *cluster) {
		ask := func() (int, answer.Outcome) {
			status, got, err := cl.post(cl.members[0], "draft-commission", "kumasi-guild-key", `{"Rank":"Urgent","Input":"a dial"}`)
			must.NoError(t, err)
			return status, got.Outcome
		}
		faults := map[string]emulator.Faults{
			"garbage": {Garbage: true}, "answers cut short": {CutShort: true}, "another call's answers": {AnswerOther: true},
			"early answers that are reset": {EarlyReset: true}, "answers whose status is none": {Status: "000"},
		}
		for name, fault := range faults {
			t.Run(name+" from every encoder makes the request fail", func(t *testing.T) {
				ask()
				for _, encoder := range []string{"encoder-1", "encoder-2", "encoder-3"} {
					cl.standins[encoder].SetFaults(fault)
				}
				_, outcome := ask()
				must.Eq(t, answer.Failed, outcome)
				for _, encoder := range []string{"encoder-1", "encoder-2", "encoder-3"} {
					cl.standins[encoder].SetFaults(emulator.Faults{})
				}
				cl.eventually("requests are answered again", func() bool { _, outcome := ask(); return outcome == answer.Answered })
			})
		}
	})
}

// TestSlowReader checks that a connection on which no complete request arrives is closed after the read timeout.
func TestSlowReader(t *testing.T) {
	withCluster(t, 1, func(cl *cluster) { cl.readTimeoutMs = 100 }, func(cl *cluster) {
		connection, err := net.Dial("tcp", cl.members[0].settings.GetInstance().GetCallerAddress())
		must.NoError(t, err)
		defer connection.Close()
		_, err = connection.Write([]byte("POST /v1/pipelines/x HTTP/1.1\r\nHost: a\r\n"))
		must.NoError(t, err)
		buffer := make([]byte, 512)
		for err == nil {
			_, err = connection.Read(buffer)
		}
		must.Error(t, err)
	})
}

func TestOperators(t *testing.T) {
	withCluster(t, 2, plain, func(cl *cluster) {
		t.Run("a team can edit only its own sections", func(t *testing.T) {
			failure := operator.Failure{}
			must.NoError(t, cl.operate(cl.members[0], http.MethodPut, "/v1/document/teams/platform", "models-team-key", operator.Edit{EditID: "x"}, &failure))
			must.Eq(t, "NotYourSection", failure.Code)
			result := operator.EditResult{}
			must.NoError(t, cl.operate(cl.members[0], http.MethodPut, "/v1/document/teams/models", "models-team-key", operator.Edit{EditID: "y", Expected: 99}, &result))
			must.Eq(t, "Conflict", result.Outcome)
		})
		t.Run("an unknown key may not read anything", func(t *testing.T) {
			for _, path := range []string{"/v1/status", "/v1/document", "/v1/timeline", "/v1/document/history"} {
				failure := operator.Failure{}
				must.NoError(t, cl.operate(cl.members[0], http.MethodGet, path, "nope", nil, &failure))
				must.Eq(t, "UnknownKey", failure.Code)
			}
		})
		t.Run("a team's key may not stop an instance", func(t *testing.T) {
			failure := operator.Failure{}
			must.NoError(t, cl.operate(cl.members[0], http.MethodPost, "/v1/stop", "models-team-key", nil, &failure))
			must.Eq(t, "UnknownKey", failure.Code)
		})
		t.Run("the timeline has the events of a request in causal order", func(t *testing.T) {
			_, _, err := cl.post(cl.members[1], "draft-commission", "kumasi-guild-key", `{"Rank":"Urgent","Input":"a","RequestId":"one"}`)
			must.NoError(t, err)
			line := operator.TimelineReply{}
			must.NoError(t, cl.operate(cl.members[0], http.MethodGet, "/v1/timeline?RequestId=one", "fleet-key", nil, &line))
			must.Len(t, 10, line.Events)
			must.SliceEmpty(t, line.Silent)
			must.StrContains(t, string(line.Events[0]), "EventRequestArrived")
			must.StrContains(t, string(line.Events[9]), "EventRequestEnded")
		})
		t.Run("the status lists the members with their revisions", func(t *testing.T) {
			cl.eventually("both members are listed with the newest revision", func() bool {
				status := operator.Status{}
				must.NoError(t, cl.operate(cl.members[0], http.MethodGet, "/v1/status", "fleet-key", nil, &status))
				return len(status.Members) == 2 && status.Members[1].Revision == 3
			})
		})
	})
}
