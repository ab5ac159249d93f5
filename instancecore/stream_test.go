package instancecore_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/answer"
	"github.com/turmericdoor/turmericdoor/caller"
	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/instancecore"
	"github.com/turmericdoor/turmericdoor/invariant"
	"github.com/turmericdoor/turmericdoor/peer"
	"github.com/turmericdoor/turmericdoor/runner"
	"github.com/turmericdoor/turmericdoor/schema/settings"
	"github.com/turmericdoor/turmericdoor/table"
	"github.com/turmericdoor/turmericdoor/timer"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// response returns the bytes of a response to a call that resumes after a number of tokens.
type response func(request *http.Request, resumed int) string

// script holds the responses of the engines to the calls of one request, in order; the last one is repeated. Each ends
// with the close of its connection.
type script struct {
	mu        sync.Mutex
	responses []response
	resumes   [][]string
}

// ServeHTTP writes the next response as it stands.
func (sc *script) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	completion := upstream.CompletionRequest{}
	_ = json.NewDecoder(request.Body).Decode(&completion)
	sc.mu.Lock()
	next := sc.responses[min(len(sc.resumes), len(sc.responses)-1)]
	sc.resumes = append(sc.resumes, completion.Resume)
	sc.mu.Unlock()
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(connection, next(request, len(completion.Resume)))
	_ = connection.Close()
}

// status returns an answer without a stream.
func status(code int, body string) response {
	return func(*http.Request, int) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", code, http.StatusText(code), len(body), body)
	}
}

// chunked returns the bytes of a chunked stream that breaks off after its events.
func chunked(events ...string) response {
	return func(request *http.Request, _ int) string {
		content := strings.Join(events, "")
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + identity(request) + fmt.Sprintf("\r\n%x\r\n%s\r\n", len(content), content)
	}
}

// unframed returns a stream without a length, which ends with its connection.
func unframed(events ...string) response {
	return func(request *http.Request, _ int) string {
		return "HTTP/1.1 200 OK\r\n" + identity(request) + "\r\n" + strings.Join(events, "")
	}
}

// remaining is the stream of an engine that resumes after the tokens in the call.
func remaining(request *http.Request, resumed int) string {
	events := []string{token0, token1, token2, token3, done}
	return chunked(events[resumed:]...)(request, resumed)
}

func identity(request *http.Request) string {
	head := ""
	for _, name := range []string{upstream.HeaderRequestID, upstream.HeaderStage, upstream.HeaderAttempt} {
		head += name + ": " + request.Header.Get(name) + "\r\n"
	}
	return head
}

const (
	token0 = "data: {\"index\":0,\"text\":\"a\"}\n\n"
	token1 = "data: {\"index\":1,\"text\":\"b\"}\n\n"
	token2 = "data: {\"index\":2,\"text\":\"c\"}\n\n"
	token3 = "data: {\"index\":3,\"text\":\"d\"}\n\n"
	done   = "data: [DONE]\n\n"
)

const engineText = `[Rank Urgent]
Precedence = 0
DeadlineMs = 4000
[Pool engines]
Kind = Engine
[Stage draft]
Pool = engines
MaxTokens = 4
[Pipeline draft]
Stages = draft
Idempotent = true
`

// received is what a caller received: the tokens and the End event of a stream, if there is one.
type received struct {
	tokens     []string
	end        *caller.AnswerBody
	violations []invariant.Violation
}

// outcome returns the outcome in the End event, or "" if there is none.
func (rc received) outcome() answer.Outcome {
	if rc.end == nil {
		return ""
	}
	return rc.end.Outcome
}

// stream sends a request for a stream to an instance whose engines follow the script.
func stream(t *testing.T, text string, sc *script) received {
	t.Helper()
	got := received{}
	abort := func(violation invariant.Violation) {
		got.violations = append(got.violations, violation)
		panic(http.ErrAbortHandler)
	}
	cr := startEngines(t, text, sc)
	server := httptest.NewServer(invariant.Handler(cr.CallerHandler(), abort))
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/pipelines/draft", strings.NewReader(`{"Rank":"Urgent","Input":"q","Stream":true}`))
	must.NoError(t, err)
	request.Header.Set("Authorization", "Bearer key")
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	defer response.Body.Close()
	got.read(response)
	server.Close()
	return got
}

// read reads a stream of events, or an answer without a stream as the End event.
func (rc *received) read(response *http.Response) {
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		rc.end = &caller.AnswerBody{}
		_ = json.NewDecoder(response.Body).Decode(rc.end)
		return
	}
	name := ""
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case field == "event":
			name = value
		case field == "data" && name == "Token":
			token := caller.TokenBody{}
			_ = json.Unmarshal([]byte(value), &token)
			rc.tokens = append(rc.tokens, token.Text)
		case field == "data" && name == "End":
			rc.end = &caller.AnswerBody{}
			_ = json.Unmarshal([]byte(value), rc.end)
		}
	}
}

// engineCount is the number of engines that follow one script.
const engineCount = 3

// startEngines starts engines that follow the script, and an instance with a document in which they are the pool "engines".
func startEngines(t *testing.T, text string, sc *script) *instancecore.Core {
	t.Helper()
	for index := range engineCount {
		engine := httptest.NewServer(sc)
		t.Cleanup(engine.Close)
		text += fmt.Sprintf("[Upstream e%d]\nPool = engines\nAddress = %s\nFailureDomain = a\nSlots = 4\n", index, engine.Listener.Addr())
	}
	return startCore(t, text, emptyStore{}, upstream.New())
}

// startCore starts an instance with a document, a table service and a client of the upstreams.
func startCore(t *testing.T, text string, store table.Store, client runner.UpstreamClient) *instancecore.Core {
	t.Helper()
	cr := instancecore.New(instancecore.Parts{
		Settings: &settings.Settings{
			Instance:  &settings.Instance{Id: "i", FailureDomain: "a", PeerAddress: "127.0.0.1:1"},
			Platform:  &settings.Platform{CallTimeoutMs: 100, PollIntervalMs: 60000},
			Peers:     &settings.Peers{HeartbeatMs: 10000, SuspectAfterMs: 30000, DeadAfterMs: 30000, Partners: 1},
			Operators: &settings.Operators{KeyDigest: digest.OfKey("k").String()},
			Limits:    &settings.Limits{MaxBodyBytes: 1 << 20, MaxWaiting: 100, TimelineEvents: 1024},
		},
		Timers: timer.New(), Random: entropy.New(1), Store: store, UpstreamClient: client,
		EngineClient: instantUpstream{}, Prober: instantUpstream{}, Dialer: func(string) (peer.Link, error) { return nil, net.ErrClosed },
	})
	cr.Start()
	t.Cleanup(cr.Kill)
	text += "[Organisation o]\nKeyDigests = " + digest.OfKey("key").String() + "\n"
	parsed := document.Text{Revision: 1, Teams: []document.TeamText{{Team: "t", Revision: 1, Text: text}}}
	_, faults := document.Parse(parsed)
	must.SliceEmpty(t, faults)
	cr.DocumentFetched(parsed)
	return cr
}

// assertWhole fails the test unless the caller got all tokens once and an End event that says so.
func assertWhole(t *testing.T, got received) {
	t.Helper()
	must.SliceEmpty(t, got.violations)
	must.Eq(t, []string{"a", "b", "c", "d"}, got.tokens)
	must.Eq(t, answer.Answered, got.outcome())
	must.Eq(t, 4, got.end.Tokens)
	must.Eq(t, `{"Text":"abcd"}`, string(got.end.Output))
}

// assertFailed fails the test unless the End event says that the stream failed after the tokens.
func assertFailed(t *testing.T, got received, tokens ...string) {
	t.Helper()
	must.SliceEmpty(t, got.violations)
	must.Eq(t, tokens, got.tokens)
	must.Eq(t, answer.Failed, got.outcome())
	must.Eq(t, len(tokens), got.end.Tokens)
	must.Eq(t, "", string(got.end.Output))
	must.NotNil(t, got.end.Error)
}

// TestBegunStreamIsNotEndedByAPartialAnswer guards against a stream that has begun and is ended as complete, or begun
// anew, by the answer of the resumed attempt.
func TestBegunStreamIsNotEndedByAPartialAnswer(t *testing.T) {
	begun := chunked(token0, token1)
	for name, resumed := range map[string]response{
		"status 500":                status(500, "crashed"),
		"status 404":                status(404, "no such model"),
		"status 400":                status(400, "bad request"),
		"a body that is no stream":  status(200, `{"text":"cd"}`),
		"a stream without its end":  chunked(),
		"a close without length":    unframed(token0),
		"a token after a gap":       chunked(token3, done),
		"bytes that are no answer":  func(*http.Request, int) string { return "}{\r\n\r\n" },
		"a close without an answer": func(*http.Request, int) string { return "" },
	} {
		t.Run(name, func(t *testing.T) {
			assertFailed(t, stream(t, engineText, &script{responses: []response{begun, resumed}}), "a", "b")
		})
	}
}

// TestStreamCutInAnEventIsResumed guards against a stream that begins anew after a token that can't be read.
func TestStreamCutInAnEventIsResumed(t *testing.T) {
	for name, begun := range map[string]response{
		"cut between events":                 chunked(token0, token1),
		"cut in an event":                    chunked(token0, token1, token2[:15]),
		"cut in an event without length":     unframed(token0, token1, token2[:15]),
		"cut in an event after its text":     unframed(token0, token1, strings.TrimSpace(token2)),
		"a token that can't be read":         chunked(token0, token1, "data: }{\n\n"),
		"a gap":                              chunked(token0, token1, token3),
		"the end marker cut, without length": unframed(token0, token1, "data: [DO"),
	} {
		t.Run(name, func(t *testing.T) {
			sc := &script{responses: []response{begun, remaining}}
			assertWhole(t, stream(t, engineText, sc))
			must.Eq(t, [][]string{nil, {"a", "b"}}, sc.resumes)
		})
	}
}

// TestTokensOfAnotherAnswerAreNotForwarded guards against the tokens of another request's answer in a stream.
func TestTokensOfAnotherAnswerAreNotForwarded(t *testing.T) {
	foreign := func(request *http.Request, resumed int) string {
		request.Header.Set(upstream.HeaderRequestID, "another")
		return chunked("data: {\"index\":0,\"text\":\"x\"}\n\n", done)(request, resumed)
	}
	t.Run("at the start", func(t *testing.T) {
		assertWhole(t, stream(t, engineText, &script{responses: []response{foreign, remaining}}))
	})
	t.Run("at a resumption", func(t *testing.T) {
		earlier := func(request *http.Request, resumed int) string {
			request.Header.Set(upstream.HeaderAttempt, "1")
			return chunked(token2, token3, done)(request, resumed)
		}
		begun := chunked(token0, token1)
		assertFailed(t, stream(t, engineText, &script{responses: []response{begun, earlier}}), "a", "b")
	})
}

// TestErrorInAStreamIsNotAToken guards against a stream that ends as complete although its engine reported an error, or
// continued another text than the one that it was to resume.
func TestErrorInAStreamIsNotAToken(t *testing.T) {
	begun := chunked(token0, token1)
	for name, event := range map[string]string{
		"an error":                 "data: {\"error\":\"out of memory\"}\n\n",
		"an error of one word":     "data: \"overloaded\"\n\n",
		"null":                     "data: null\n\n",
		"another text for a token": "data: {\"index\":1,\"text\":\"x\"}\n\n",
		"a token with no index":    "data: {\"text\":\"c\"}\n\n",
		"a token with no text":     "data: {\"index\":2}\n\n",
		"a token before the first": "data: {\"index\":-1,\"text\":\"c\"}\n\n",
	} {
		t.Run(name+" at a resumption", func(t *testing.T) {
			assertFailed(t, stream(t, engineText, &script{responses: []response{begun, chunked(event, done)}}), "a", "b")
		})
		t.Run(name+" in the first stream", func(t *testing.T) {
			sc := &script{responses: []response{chunked(token0, token1, event, done), remaining}}
			assertWhole(t, stream(t, engineText, sc))
		})
	}
	t.Run("a token that is repeated with its text", func(t *testing.T) {
		repeating := chunked(token1, token2, token3, done)
		assertWhole(t, stream(t, engineText, &script{responses: []response{begun, repeating}}))
	})
}

// TestTokensOfAnotherStageAreNotResumed guards against an answer that is joined from the tokens of two stages.
func TestTokensOfAnotherStageAreNotResumed(t *testing.T) {
	text := strings.Replace(engineText, "Stages = draft", "Stages = outline, draft", 1) +
		"[Stage outline]\nPool = engines\nMaxTokens = 4\nBrownout = Skip\n"
	t.Run("after a whole stage", func(t *testing.T) {
		sc := &script{responses: []response{remaining}}
		assertWhole(t, stream(t, text, sc))
		must.Eq(t, [][]string{nil, nil}, sc.resumes)
	})
	t.Run("after a stage that failed and is left out", func(t *testing.T) {
		sc := &script{responses: []response{chunked(token0), status(404, "no such model"), remaining}}
		assertWhole(t, stream(t, text, sc))
		must.Eq(t, [][]string{nil, {"a"}, nil}, sc.resumes)
	})
}
