package caller

import (
	"encoding/json"
	"net/http"

	"github.com/turmericdoor/turmericdoor/answer"
	"github.com/turmericdoor/turmericdoor/invariant"
)

// stream sends an answer as server-sent events: one Token event for each token, then one End event. If the End
// event is missing, the stream was cut off.
type stream struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController
	started bool
	next    int
}

func newStream(writer http.ResponseWriter) *stream {
	return &stream{writer: writer, flusher: http.NewResponseController(writer)}
}

// token sends one token. Tokens must be passed in order and only once.
func (st *stream) token(index int, text string) {
	invariant.Check(index == st.next, "the tokens of a stream are sent in order, each once", "token index %d, expected %d", index, st.next)
	st.next++
	st.send("Token", TokenBody{Index: index, Text: text})
}

func (st *stream) end(ended answer.Answer) {
	st.send("End", newAnswerBody(ended))
}

func (st *stream) send(name string, value any) {
	if !st.started {
		st.started = true
		st.writer.Header().Set("Content-Type", "text/event-stream")
		st.writer.Header().Set("Cache-Control", "no-store")
		st.writer.WriteHeader(http.StatusOK)
	}
	data, _ := json.Marshal(value)
	// A write fails only if the caller has disconnected, which also cancels the request's context.
	_, _ = st.writer.Write([]byte("event: " + name + "\ndata: " + string(data) + "\n\n"))
	_ = st.flusher.Flush()
}
