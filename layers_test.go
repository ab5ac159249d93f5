// Package turmericdoor holds the tests of the module as a whole.
package turmericdoor

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const module = "github.com/turmericdoor/turmericdoor/"

// ground packages know nothing of the others; core packages decide and do no I/O; all others are outside.
var (
	ground = []string{"timer", "priority", "hlc", "invariant", "digest", "entropy", "timeline", "inifile", "schema", "events", "readlimit", "readbudget", "calibration", "requestbody"}
	core   = []string{
		"answer", "document", "fairqueue", "limit", "choice", "retry", "dispatch", "admission", "attempt", "claim", "lease",
		"order", "poison", "quarantine", "headroom", "reach", "subset", "member", "gossip", "revision", "drain", "table",
		"retryquota", "ratelimit", "notice", "noticetable", "pause", "confirmation", "permit", "ownership", "evacuation", "origin", "originhistory", "tombstone", "batch", "hotpart", "storereader", "storeclock", "overload", "placement", "memorybudget", "replica", "roster", "route",
	}
)

func layer(path string) int {
	first, _, _ := strings.Cut(path, "/")
	for _, name := range ground {
		if first == name {
			return 0
		}
	}
	for _, name := range core {
		if first == name {
			return 1
		}
	}
	return 2
}

// forbidden are packages that a core package has no use for.
var forbidden = []string{"net", "net/http", "os", "sync/atomic"}

// imports returns the paths that a file imports.
func imports(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	must.NoError(t, err)
	list := []string{}
	for _, one := range file.Imports {
		unquoted, err := strconv.Unquote(one.Path.Value)
		must.NoError(t, err)
		list = append(list, unquoted)
	}
	return list
}

// eachFile visits the module's own files outside tests.
func eachFile(t *testing.T, visit func(path string)) {
	t.Helper()
	must.NoError(t, filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (path == "build" || path == "tools" || strings.HasPrefix(path, ".") && path != ".") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			visit(path)
		}
		return nil
	}))
}

func TestImportsPointOneWay(t *testing.T) {
	eachFile(t, func(path string) {
		own := layer(filepath.ToSlash(path))
		for _, imported := range imports(t, path) {
			inside, isOurs := strings.CutPrefix(imported, module)
			if isOurs {
				must.LessEq(t, own, layer(inside), must.Sprintf("%s imports %s", path, inside))
			}
		}
	})
}

func TestCoreDoesNoIO(t *testing.T) {
	allowed := map[string]bool{"revision/revision.go": true, "drain/drain.go": true}
	eachFile(t, func(path string) {
		if layer(filepath.ToSlash(path)) != 1 || allowed[filepath.ToSlash(path)] {
			return
		}
		for _, imported := range imports(t, path) {
			must.SliceNotContains(t, forbidden, imported, must.Sprint(path))
		}
	})
}

// platformNames are spellings of the users' platform that only its adapter knows.
var platformNames = []string{
	"Turmericdoor-", "Kv-From", "Kv-Fetch", "Last-Event-Id", "\"Resumes\"", "Retry-After", "Server-Limit", "Server-Brittle", "Store-Era", "/v1/rows", "/v1/stage", "/v1/report", "/v1/blob", "/v1/ready",
	"rows-get", "rows-feed", "op/config", "evacuate/", "\"servers\"", "row_version", "slot_count", "cold_left_ms", "headroom_mb", "gap_aim_ms", "api_keys", "cold_per_s", "cold_overage", "cold_slack",
	"TURMERICDOOR_NODE_FILE", "node_name", "inner_ports",
}

// ownInterface are packages that speak the product's own interface, which has names in common with HTTP.
var ownInterface = map[string]bool{"caller": true, "upstream": true, "load": true, "command": true}

func TestOnlyTheAdapterKnowsThePlatformsNames(t *testing.T) {
	eachFile(t, func(path string) {
		slashed := filepath.ToSlash(path)
		first, _, _ := strings.Cut(slashed, "/")
		if first == "platform" || strings.HasSuffix(slashed, ".pb.go") {
			return
		}
		content, err := os.ReadFile(path)
		must.NoError(t, err)
		for _, name := range platformNames {
			if ownInterface[first] && name == "Retry-After" {
				continue
			}
			must.False(t, strings.Contains(string(content), name), must.Sprintf("%s names %q", path, name))
		}
	})
}
