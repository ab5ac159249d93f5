package propertytest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/turmericdoor/turmericdoor/answer"
	"github.com/turmericdoor/turmericdoor/caller"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// testRequest is a request of a caller.
type testRequest struct {
	pipeline     string
	organisation string
	body         caller.RequestBody
}

// reply is the answer that a caller received. Interrupted says that the node was killed before the answer was complete.
type reply struct {
	caller.AnswerBody
	Interrupted bool
	Tokens      []string
}

func draftRequest(query string) testRequest {
	input, _ := json.Marshal(query)
	return testRequest{pipeline: "draft", organisation: "guild", body: caller.RequestBody{Rank: "Urgent", Input: input}}
}

func depositRequest(key, content string) testRequest {
	input, _ := json.Marshal(content)
	return testRequest{pipeline: "deposit", organisation: "guild", body: caller.RequestBody{Rank: "Urgent", Input: input, IdempotencyKey: key}}
}

// send sends a request to a node and waits for the answer.
func (fl *fleet) send(nd *node, req testRequest) reply {
	encoded, _ := json.Marshal(req.body)
	httpRequest := httptest.NewRequestWithContext(nd.lifetime, http.MethodPost, "/v1/pipelines/"+req.pipeline, strings.NewReader(string(encoded)))
	httpRequest.Header.Set("Authorization", "Bearer "+keyOf(req.organisation))
	recorder := httptest.NewRecorder()
	nd.callers.ServeHTTP(recorder, httpRequest)
	if nd.dead.Load() {
		return reply{Interrupted: true}
	}
	return read(recorder, req.body.Stream)
}

// read parses a JSON answer or a stream of events.
func read(recorder *httptest.ResponseRecorder, stream bool) reply {
	got := reply{}
	if !stream || !strings.HasPrefix(recorder.Header().Get("Content-Type"), "text/event-stream") {
		got.Interrupted = json.Unmarshal(recorder.Body.Bytes(), &got.AnswerBody) != nil
		return got
	}
	got.Interrupted = true
	for _, event := range strings.Split(recorder.Body.String(), "\n\n") {
		name, data, _ := strings.Cut(strings.TrimPrefix(event, "event: "), "\ndata: ")
		switch name {
		case "Token":
			token := caller.TokenBody{}
			_ = json.Unmarshal([]byte(data), &token)
			got.Tokens = append(got.Tokens, token.Text)
		case "End":
			got.Interrupted = json.Unmarshal([]byte(data), &got.AnswerBody) != nil
		}
	}
	return got
}

// expectedText returns the complete answer to a draft.
func expectedText(query string) string {
	payload := upstream.Payload{Query: query}
	for _, call := range []upstream.Call{
		{Kind: document.Encoder},
		{Kind: document.Retriever, Candidates: 6},
		{Kind: document.Reranker, Candidates: 3},
		{Kind: document.Engine, MaxTokens: 12},
	} {
		call.Payload = payload
		payload = expectedPayload(&call)
	}
	return strings.Join(payload.Tokens, "")
}

// outputText returns the text of an answered draft.
func outputText(got reply) string {
	output := struct{ Text string }{}
	_ = json.Unmarshal(got.Output, &output)
	return output.Text
}

// executions returns how often the upstreams executed a deposit with the content.
func (fl *fleet) executions(content string) int {
	encoded, _ := json.Marshal(content)
	total := 0
	for _, up := range fl.byName {
		up.mu.Lock()
		total += up.executions[string(encoded)]
		up.mu.Unlock()
	}
	return total
}

// pool returns the upstreams of a pool.
func (fl *fleet) pool(name string) []*fakeUpstream {
	list := []*fakeUpstream{}
	for at := 0; fl.byName[fmt.Sprintf("%s-%d", name, at)] != nil; at++ {
		list = append(list, fl.byName[fmt.Sprintf("%s-%d", name, at)])
	}
	return list
}

// set changes an upstream under its lock.
func (fu *fakeUpstream) set(change func(fu *fakeUpstream)) {
	fu.mu.Lock()
	defer fu.mu.Unlock()
	change(fu)
}

// setTable changes the fake table service under its lock.
func (fl *fleet) setTable(change func(ft *fakeTable)) {
	fl.table.mu.Lock()
	defer fl.table.mu.Unlock()
	change(fl.table)
}

// cutDomains blocks messages from one failure domain to another, in one or both directions.
func (fl *fleet) cutDomains(from, to string, bothWays bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.blocked[[2]string{from, to}] = true
	if bothWays {
		fl.blocked[[2]string{to, from}] = true
	}
}

func (fl *fleet) restoreLinks() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.blocked = map[[2]string]bool{}
}

// requireAnswered fails the test unless the reply is the complete answer to the query.
func requireAnswered(t *testing.T, query string, got reply) {
	t.Helper()
	must.Eq(t, answer.Answered, got.Outcome, must.Sprintf("%+v", got.Error))
	must.Eq(t, expectedText(query), outputText(got))
}

// teamText returns a team's stored text.
func (fl *fleet) teamText(team string) document.TeamText {
	whole := document.Text{}
	fl.callOperatorAPI(fl.live()[0], http.MethodGet, "/v1/document", nil, &whole)
	found, _ := whole.Team(team)
	return found
}

// raiseIncarnation edits the document so that an upstream that had left is used again under a new incarnation.
func (fl *fleet) raiseIncarnation(name string) {
	team := fl.teamText("models")
	text := strings.Replace(team.Text, "[Upstream "+name+"]\n", "[Upstream "+name+"]\nIncarnation = 2\n", 1)
	must.Eq(fl.t, "Accepted", fl.putTeam(fl.live()[0], "models", team.Revision, text, "raise-"+name).Outcome)
}
