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

// ask sends a caller's request to a node and waits for its answer; Cut says that the node died meanwhile.
type ask struct {
	pipeline     string
	organisation string
	body         caller.RequestBody
}

// reply is what the caller saw.
type reply struct {
	caller.AnswerBody
	Cut    bool
	Tokens []string
}

func draft(query string) ask {
	input, _ := json.Marshal(query)
	return ask{pipeline: "draft", organisation: "guild", body: caller.RequestBody{Rank: "Urgent", Input: input}}
}

func deposit(key, content string) ask {
	input, _ := json.Marshal(content)
	return ask{pipeline: "deposit", organisation: "guild", body: caller.RequestBody{Rank: "Urgent", Input: input, IdempotencyKey: key}}
}

func (fl *fleet) ask(nd *node, asked ask) reply {
	encoded, _ := json.Marshal(asked.body)
	request := httptest.NewRequestWithContext(nd.lifetime, http.MethodPost, "/v1/pipelines/"+asked.pipeline, strings.NewReader(string(encoded)))
	request.Header.Set("Authorization", "Bearer "+keyOf(asked.organisation))
	recorder := httptest.NewRecorder()
	nd.callers.ServeHTTP(recorder, request)
	if nd.dead.Load() {
		return reply{Cut: true}
	}
	return read(recorder, asked.body.Stream)
}

// read understands an answer or a stream of events.
func read(recorder *httptest.ResponseRecorder, stream bool) reply {
	got := reply{}
	if !stream || !strings.HasPrefix(recorder.Header().Get("Content-Type"), "text/event-stream") {
		got.Cut = json.Unmarshal(recorder.Body.Bytes(), &got.AnswerBody) != nil
		return got
	}
	got.Cut = true
	for _, event := range strings.Split(recorder.Body.String(), "\n\n") {
		name, data, _ := strings.Cut(strings.TrimPrefix(event, "event: "), "\ndata: ")
		switch name {
		case "Token":
			token := caller.TokenBody{}
			_ = json.Unmarshal([]byte(data), &token)
			got.Tokens = append(got.Tokens, token.Text)
		case "End":
			got.Cut = json.Unmarshal([]byte(data), &got.AnswerBody) != nil
		}
	}
	return got
}

// wanted is the whole answer to a draft.
func wanted(query string) string {
	payload := upstream.Payload{Query: query}
	for _, call := range []upstream.Call{
		{Kind: document.Encoder},
		{Kind: document.Retriever, Candidates: 6},
		{Kind: document.Reranker, Candidates: 3},
		{Kind: document.Engine, MaxTokens: 12},
	} {
		call.Payload = payload
		payload = computed(&call)
	}
	return strings.Join(payload.Tokens, "")
}

// textOf is the text of an answered draft.
func textOf(got reply) string {
	output := struct{ Text string }{}
	_ = json.Unmarshal(got.Output, &output)
	return output.Text
}

// effects counts how often a content was carried out by all back ends of a pool.
func (fl *fleet) effects(content string) int {
	encoded, _ := json.Marshal(content)
	total := 0
	for _, up := range fl.byName {
		up.mu.Lock()
		total += up.effects[string(encoded)]
		up.mu.Unlock()
	}
	return total
}

// pool returns the back ends of a pool.
func (fl *fleet) pool(name string) []*fakeUpstream {
	list := []*fakeUpstream{}
	for at := 0; fl.byName[fmt.Sprintf("%s-%d", name, at)] != nil; at++ {
		list = append(list, fl.byName[fmt.Sprintf("%s-%d", name, at)])
	}
	return list
}

// set changes a back end under its lock.
func (fu *fakeUpstream) set(change func(fu *fakeUpstream)) {
	fu.mu.Lock()
	defer fu.mu.Unlock()
	change(fu)
}

// setTable changes the table service under its lock.
func (fl *fleet) setTable(change func(ft *fakeTable)) {
	fl.table.mu.Lock()
	defer fl.table.mu.Unlock()
	change(fl.table)
}

// cutDomains stops messages between failure domains, both ways or one way.
func (fl *fleet) cutDomains(from, to string, bothWays bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.cut[[2]string{from, to}] = true
	if bothWays {
		fl.cut[[2]string{to, from}] = true
	}
}

func (fl *fleet) heal() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.cut = map[[2]string]bool{}
}

// answered fails the test unless the reply is the whole answer to the query.
func answered(t *testing.T, query string, got reply) {
	t.Helper()
	must.Eq(t, answer.Answered, got.Outcome, must.Sprintf("%+v", got.Error))
	must.Eq(t, wanted(query), textOf(got))
}

// text returns a team's text as the platform holds it.
func (fl *fleet) text(team string) document.TeamText {
	whole := document.Text{}
	fl.operate(fl.live()[0], http.MethodGet, "/v1/document", nil, &whole)
	found, _ := whole.Team(team)
	return found
}

// raiseIncarnation has an operator bring back an upstream that had left.
func (fl *fleet) raiseIncarnation(name string) {
	team := fl.text("models")
	text := strings.Replace(team.Text, "[Upstream "+name+"]\n", "[Upstream "+name+"]\nIncarnation = 2\n", 1)
	must.Eq(fl.t, "Accepted", fl.put(fl.live()[0], "models", team.Revision, text, "raise-"+name).Outcome)
}
