package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/command"
)

// run executes a command and returns its exit code and output.
func run(arguments ...string) (int, string) {
	out := &bytes.Buffer{}
	return command.New(out).Run(arguments), out.String()
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestReferenceIsCurrent(t *testing.T) {
	kept, err := os.ReadFile("../docs/reference/settings.md")
	must.NoError(t, err)
	must.Eq(t, command.Reference()+"\n", string(kept))
}

func TestExamples(t *testing.T) {
	for _, user := range []string{"asante", "gravura", "demo"} {
		t.Run(user, func(t *testing.T) {
			code, out := run("document", "check", "--directory", "../examples/"+user+"/document")
			must.Eq(t, command.ExitDone, code)
			must.StrContains(t, out, "the document is valid")
			settings, err := filepath.Glob("../examples/" + user + "/entry-*.ini")
			must.NoError(t, err)
			must.SliceNotEmpty(t, settings)
			for _, path := range settings {
				code, _ := run("settings", "check", "--settings", path)
				must.Eq(t, command.ExitDone, code)
			}
		})
	}
}

func TestBadInput(t *testing.T) {
	cases := map[string][]string{
		"no command":             {},
		"no settings file":       {"settings", "check", "--settings", "nowhere.ini"},
		"a broken settings file": {"settings", "check", "--settings", write(t, "s.ini", "[Instance]\nId = a b\nColour = red\n")},
		"no document":            {"document", "check", "--directory", t.TempDir()},
		"no key":                 {"digest", "--key", ""},
	}
	for name, arguments := range cases {
		t.Run(name, func(t *testing.T) {
			code, _ := run(arguments...)
			must.Eq(t, command.ExitBadInput, code)
		})
	}
	t.Run("an instance that can't be reached", func(t *testing.T) {
		code, _ := run("status", "--address", "127.0.0.1:1")
		must.Eq(t, command.ExitUnreachable, code)
	})
}

func TestDigest(t *testing.T) {
	code, out := run("digest", "--key", "abc")
	must.Eq(t, command.ExitDone, code)
	must.Eq(t, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", strings.TrimSpace(out))
}
