package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/command"
)

func explain(t *testing.T, request string) (int, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "all.log")
	lines := "time=2026-01-01T00:00:02.000Z msg=RequestEnded instance=b request=r1\n" +
		"time=2026-01-01T00:00:01.000Z msg=Admitted instance=b request=r1\n" +
		"time=2026-01-01T00:00:01.500Z msg=Admitted instance=b request=r11\n"
	must.NoError(t, os.WriteFile(path, []byte(lines), 0o600))
	out := &bytes.Buffer{}
	code := command.New(out).Run([]string{"explain", "--request", request, "--file", path})
	return code, out.String()
}

func TestExplain(t *testing.T) {
	t.Run("prints only the lines of the request, in order of time", func(t *testing.T) {
		code, out := explain(t, "r1")
		must.Eq(t, command.ExitDone, code)
		must.Eq(t, "time=2026-01-01T00:00:01.000Z msg=Admitted instance=b request=r1\n"+
			"time=2026-01-01T00:00:02.000Z msg=RequestEnded instance=b request=r1\n", out)
	})
	t.Run("fails if no line belongs to the request", func(t *testing.T) {
		code, _ := explain(t, "r2")
		must.Eq(t, command.ExitFailed, code)
	})
}
