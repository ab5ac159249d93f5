package instancecore_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/answer"
	"github.com/turmericdoor/turmericdoor/caller"
	"github.com/turmericdoor/turmericdoor/claim"
	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/table"
)

// claimedStore is a table service in which another attempt has claimed the request; value is the row's.
type claimedStore struct {
	emptyStore
	value []byte
}

func (cs claimedStore) Read(_ context.Context, keys ...string) table.Outcome {
	if !strings.HasPrefix(keys[0], "claim/") {
		return table.Rows{}
	}
	return table.Rows{Rows: []table.Row{{Key: keys[0], Value: cs.value, Version: 7}}}
}

func (cs claimedStore) Commit(_ context.Context, transaction table.Transaction) table.Outcome {
	if len(transaction.Conditions) == 0 {
		return table.Committed{}
	}
	return table.Conflict{Keys: []string{transaction.Conditions[0].Key}}
}

// repeat sends a request whose claim has the value in the table, and returns the HTTP status and the answer.
func repeat(t *testing.T, value []byte) (int, caller.AnswerBody) {
	t.Helper()
	text := strings.Replace(documentText, "Stages = note\n", "Stages = note\nIdempotent = false\n", 1)
	cr := startCore(t, text, claimedStore{value: value}, instantUpstream{})
	request := httptest.NewRequest(http.MethodPost, "/v1/pipelines/note", strings.NewReader(`{"Rank":"Urgent","Input":1,"IdempotencyKey":"k"}`))
	request.Header.Set("Authorization", "Bearer key")
	recorder := httptest.NewRecorder()
	cr.CallerHandler().ServeHTTP(recorder, request)
	got := caller.AnswerBody{}
	must.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &got))
	return recorder.Code, got
}

// claimWith returns the value of the request's claim with a kept answer.
func claimWith(kept string) []byte {
	return claim.Encode(claim.Record{
		Nonce: "n", Instance: "j", Body: digest.Of([]byte("note"), []byte("1")).String(), State: claim.StateDone, Answer: json.RawMessage(kept),
	})
}

// assertUnknown fails the test unless the answer says that the request may have run and has no known result.
func assertUnknown(t *testing.T, value []byte) {
	t.Helper()
	status, got := repeat(t, value)
	must.Eq(t, http.StatusConflict, status)
	must.Eq(t, answer.Unknown, got.Outcome)
	must.NotNil(t, got.Error)
	must.Eq(t, answer.InProgressOrUnknown, got.Error.Code)
}

// TestPartOfAKeptAnswerIsNotReplayed guards against a kept answer of which a part is missing and that is replayed as an
// answer, or as a request that did not run.
func TestPartOfAKeptAnswerIsNotReplayed(t *testing.T) {
	for _, kept := range []string{
		`{}`, `null`, `[]`, `"Answered"`, `{"Outcome":""}`, `{"Outcome":"Answered"}`, `{"Outcome":"NotRun"}`, `{"Outcome":"Unknown"}`,
		`{"Outcome":"Failed"}`, `{"Outcome":"Other","Output":{"a":1}}`,
	} {
		t.Run(kept, func(t *testing.T) { assertUnknown(t, claimWith(kept)) })
	}
	whole := claimWith(`{"Outcome":"Answered","Output":{"a":1}}`)
	for name, value := range map[string]string{
		"a claim that is cut off": string(whole[:len(whole)-9]), "a claim without fields": `{}`, "a claim that is null": `null`, "an empty claim": ``,
	} {
		t.Run(name, func(t *testing.T) { assertUnknown(t, []byte(value)) })
	}
	t.Run("a whole answer is replayed", func(t *testing.T) {
		status, got := repeat(t, whole)
		must.Eq(t, http.StatusOK, status)
		must.Eq(t, `{"a":1}`, string(got.Output))
		must.True(t, got.Replayed)
	})
	t.Run("a whole failure is replayed", func(t *testing.T) {
		status, got := repeat(t, claimWith(`{"Outcome":"Failed","Code":"UpstreamRejected"}`))
		must.Eq(t, http.StatusUnprocessableEntity, status)
		must.Eq(t, answer.Failed, got.Outcome)
	})
}
