package load_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/load"
)

func writeLoadFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "load.ini")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const streamSection = "[Stream one]\nPipeline = p\nOrganisation = o\nKey = k\nRank = Urgent\nRatePerMinute = 60000\n"

func TestRun(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		must.Eq(t, "Bearer k", request.Header.Get("Authorization"))
		_, _ = io.WriteString(writer, `{"Outcome":"Answered","Stages":[{"Name":"encode","RunMs":2}]}`)
	}))
	defer server.Close()
	run, err := load.New(writeLoadFile(t, "[Load]\nDurationMs = 100\nTargets = "+strings.TrimPrefix(server.URL, "http://")+"\n"+streamSection))
	must.NoError(t, err)
	run.Do(context.Background(), io.Discard)
	out := &bytes.Buffer{}
	run.Print(out)
	must.StrContains(t, out.String(), "Urgent")
	must.StrContains(t, out.String(), "encode")
	folder := t.TempDir()
	must.NoError(t, run.WriteCSV(filepath.Join(folder, "a.csv")))
	must.NoError(t, run.WritePlot(filepath.Join(folder, "a.png")))
}

func TestInvalidLoadFile(t *testing.T) {
	for name, text := range map[string]string{
		"no stream":          "[Load]\nTargets = 127.0.0.1:1\n",
		"a host name":        "[Load]\nTargets = here:1\n" + streamSection,
		"an unknown section": "[Load]\nTargets = 127.0.0.1:1\n[Colour]\n" + streamSection,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := load.New(writeLoadFile(t, text))
			must.Error(t, err)
		})
	}
}
