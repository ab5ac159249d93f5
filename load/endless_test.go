package load_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/endlessserver"
	"github.com/turmericdoor/turmericdoor/load"
)

const (
	// headLimit and bodyLimit are the limits of a response, in bytes.
	headLimit = 64 << 10
	bodyLimit = 32 << 20
	okHead    = "HTTP/1.1 200 OK\r\n"
)

// TestLoadReadsAnEndlessAnswer guards against a load run that reads an answer without end for as long as the run lasts.
func TestLoadReadsAnEndlessAnswer(t *testing.T) {
	heads := endlessserver.Heads(okHead, headLimit)
	cases := map[string]endlessserver.Case{
		"header lines": heads["header lines"], "a header line": heads["a header line"],
		"a body of blanks": {Answer: endlessserver.Answer{Head: okHead + "\r\n", Repeated: " "}, Limit: bodyLimit},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			each.Answer.Limit = each.Limit
			sv, err := endlessserver.New(t.Context(), each.Answer)
			must.NoError(t, err)
			defer sv.Close()
			run, err := load.New(writeLoadFile(t, "[Load]\nDurationMs = 5\nTargets = "+sv.Address+"\n"+streamSection))
			must.NoError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				select {
				case <-sv.Overrun:
					cancel()
				case <-ctx.Done():
				}
			}()
			run.Do(ctx, &bytes.Buffer{})
			must.NoError(t, ctx.Err(), must.Sprint("the run read more than the limit"))
			closed := <-sv.Closed
			must.LessEq(t, endlessserver.MaxSent(each.Limit), closed.Sent)
		})
	}
}
