package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/editor"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/operator"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
)

// call asks an instance's operator interface; the status is returned for answers that are not a Failure.
func (tb *CLI) call(method, path string, body, result any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(tb.options.timeoutMs)*time.Millisecond)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	response, err := tb.send(ctx, method, path, encoded)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, exitErrorf(ExitUnreachable, "answer of %s cut short: %v", tb.options.address, err)
	}
	failure := operator.Failure{}
	if response.StatusCode >= http.StatusBadRequest && json.Unmarshal(raw, &failure) == nil && failure.Code != "" {
		return response.StatusCode, exitErrorf(ExitRefused, "%s: %s", failure.Code, failure.Message)
	}
	return response.StatusCode, json.Unmarshal(raw, result)
}

// send makes a request with the key of the options; the caller closes the answer's body.
func (tb *CLI) send(ctx context.Context, method, path string, encoded []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, tb.baseURL()+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, exitErrorf(ExitBadInput, "bad address %q", tb.options.address)
	}
	request.Header.Set("Authorization", "Bearer "+tb.options.key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, exitErrorf(ExitUnreachable, "instance %s can't be reached: %v", tb.options.address, err)
	}
	return response, nil
}

func (tb *CLI) baseURL() string {
	if strings.Contains(tb.options.address, "://") {
		return tb.options.address
	}
	return "http://" + tb.options.address
}

// printResult writes a value as JSON, or by its own means.
func (tb *CLI) printResult(value any, plain func()) error {
	if !tb.options.json {
		plain()
		return nil
	}
	encoder := json.NewEncoder(tb.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (tb *CLI) leave() error {
	if tb.options.upstream == "" {
		return exitErrorf(ExitBadInput, "--upstream is missing")
	}
	result := struct{ Leaving, Stored bool }{}
	if _, err := tb.call(http.MethodPost, "/v1/upstreams/"+url.PathEscape(tb.options.upstream)+"/leave", nil, &result); err != nil {
		return err
	}
	return tb.printResult(result, func() {
		fmt.Fprintf(tb.out, "%s gets no new work\n", tb.options.upstream)
		if !result.Stored {
			fmt.Fprintln(tb.out, "the platform could not be told: repeat this once it is back")
		}
	})
}

func (tb *CLI) stop() error {
	result := struct{ Stopping bool }{}
	if _, err := tb.call(http.MethodPost, "/v1/stop", nil, &result); err != nil {
		return err
	}
	return tb.printResult(result, func() { fmt.Fprintln(tb.out, "stopping; it ends once nothing is in flight") })
}

func (tb *CLI) status() error {
	status := operator.Status{}
	if _, err := tb.call(http.MethodGet, "/v1/status", nil, &status); err != nil {
		return err
	}
	return tb.printResult(status, func() { tb.printStatus(status) })
}

func (tb *CLI) printStatus(status operator.Status) {
	fmt.Fprintf(tb.out, "%s in %s: %s, revision %d, %d in flight, platform up %t, %d claims to write\n",
		status.ID, status.FailureDomain, status.Phase, status.Revision, status.InFlight, status.PlatformUp, status.ClaimsOwed)
	for _, mb := range status.Members {
		fmt.Fprintf(tb.out, "  member %-16s %-8s %-22s %s revision %d\n", mb.ID, mb.Liveness, mb.Address, mb.FailureDomain, mb.Revision)
	}
	for _, each := range status.Pools {
		fmt.Fprintf(tb.out, "  pool %s: %d waiting\n", each.Name, each.Waiting)
		for _, up := range each.Upstreams {
			fmt.Fprintf(tb.out, "    %-16s %d of %d in flight%s%s\n", up.Upstream, up.InFlight, up.Limit, textIf(up.Leaving, " leaving"), textIf(up.Ejected, " ejected"))
		}
	}
}

func textIf(set bool, text string) string {
	if set {
		return text
	}
	return ""
}

func (tb *CLI) getDocument() error {
	text := document.Text{}
	if _, err := tb.call(http.MethodGet, "/v1/document", nil, &text); err != nil {
		return err
	}
	if tb.options.team == "" {
		return tb.printResult(text, func() { tb.printDocument(text) })
	}
	team, found := text.Team(tb.options.team)
	if !found {
		return exitErrorf(ExitRefused, "no team %q in revision %d", tb.options.team, text.Revision)
	}
	return tb.printResult(team, func() { fmt.Fprintf(tb.out, "; team %s, revision %d\n%s", team.Team, team.Revision, team.Text) })
}

func (tb *CLI) printDocument(text document.Text) {
	fmt.Fprintf(tb.out, "; document revision %d\n", text.Revision)
	for _, team := range text.Teams {
		fmt.Fprintf(tb.out, "; team %s, revision %d\n%s\n", team.Team, team.Revision, team.Text)
	}
}

// putDocument edits a team's text. The outcome is never guessed: an edit that stays undecided is told apart,
// with the id by which its fate can be found out.
func (tb *CLI) putDocument() error {
	content, err := os.ReadFile(tb.options.file)
	if err != nil {
		return badInput(err)
	}
	if tb.options.editID == "" {
		tb.options.editID = entropy.NewRandom().NewID()
	}
	edit := operator.Edit{
		EditID: tb.options.editID, Expected: tb.options.expected, Text: string(content), Author: tb.options.author,
	}
	result := operator.EditResult{}
	if _, err := tb.call(http.MethodPut, "/v1/document/teams/"+url.PathEscape(tb.options.team), edit, &result); err != nil {
		return err
	}
	if err := tb.editError(result); err != nil {
		return err
	}
	if err := tb.printResult(result, func() { fmt.Fprintf(tb.out, "accepted as revision %d\n", result.Revision) }); err != nil {
		return err
	}
	if !tb.options.wait {
		return nil
	}
	tb.options.revision = result.Revision
	return tb.waitDocument()
}

func (tb *CLI) editError(result operator.EditResult) error {
	switch result.Outcome {
	case "Accepted":
		return nil
	case "Invalid":
		return exitErrorf(ExitRefused, "the document would not be right:\n%s", strings.Join(result.Faults, "\n"))
	case "Conflict":
		return exitErrorf(ExitRefused, "team %s is at revision %d, not %d; its text there is:\n%s", tb.options.team, result.TheirsRevision, tb.options.expected, result.Theirs)
	case "Undecided":
		return exitErrorf(ExitUndecided, "not known whether the edit was accepted (%s); repeat with --edit-id %s", result.Cause, tb.options.editID)
	default:
		return exitErrorf(ExitUnreachable, "not accepted: %s", result.Cause)
	}
}

func (tb *CLI) history() error {
	entries := []editor.Entry{}
	if _, err := tb.call(http.MethodGet, "/v1/document/history", nil, &entries); err != nil {
		return err
	}
	return tb.printResult(entries, func() {
		for _, one := range entries {
			fmt.Fprintf(tb.out, "%6d %s %-16s %-16s %s\n", one.Revision, time.UnixMilli(one.UnixMilli).UTC().Format(time.RFC3339), one.Team, one.Author, one.EditID)
		}
	})
}

// waitInterval is the time between two looks at the revisions in force.
const waitInterval = 100 * time.Millisecond

// waitDocument returns once every live instance reports the revision, or names those that do not.
func (tb *CLI) waitDocument() error {
	deadline := time.Now().Add(time.Duration(tb.options.timeoutMs) * time.Millisecond)
	for {
		revisions := map[string]int64{}
		if _, err := tb.call(http.MethodGet, "/v1/document/revisions", nil, &revisions); err != nil {
			return err
		}
		behind := instancesBehind(revisions, tb.options.revision)
		if len(behind) == 0 {
			return tb.printResult(revisions, func() {
				fmt.Fprintf(tb.out, "revision %d is in force on %d instances\n", tb.options.revision, len(revisions))
			})
		}
		if time.Now().After(deadline) {
			return exitErrorf(ExitUndecided, "revision %d is not in force on: %s", tb.options.revision, strings.Join(behind, ", "))
		}
		time.Sleep(waitInterval)
	}
}

func instancesBehind(revisions map[string]int64, wanted int64) []string {
	behind := []string{}
	for id, reported := range revisions {
		if reported < wanted {
			behind = append(behind, fmt.Sprintf("%s (%d)", id, reported))
		}
	}
	sort.Strings(behind)
	return behind
}

func (tb *CLI) timeline() error {
	query := url.Values{}
	query.Set("RequestId", tb.options.request)
	query.Set("Upstream", tb.options.upstream)
	query.Set("Organisation", tb.options.organisation)
	query.Set("Kind", tb.options.kind)
	query.Set("Limit", strconv.FormatInt(tb.options.limit, 10))
	gathered := operator.TimelineReply{}
	if _, err := tb.call(http.MethodGet, "/v1/timeline?"+query.Encode(), nil, &gathered); err != nil {
		return err
	}
	return tb.printResult(gathered, func() { tb.printTimeline(gathered) })
}

func (tb *CLI) printTimeline(gathered operator.TimelineReply) {
	for _, raw := range gathered.Events {
		event := &wire.Event{}
		if protojson.Unmarshal(raw, event) == nil {
			fmt.Fprintln(tb.out, FormatEvent(event))
		}
	}
	for id, count := range gathered.Overwritten {
		if count > 0 {
			fmt.Fprintf(tb.out, "; %s no longer has its oldest %d events\n", id, count)
		}
	}
	for _, id := range gathered.Silent {
		fmt.Fprintf(tb.out, "; %s did not answer\n", id)
	}
}

// FormatEvent returns an event in one line of key=value pairs.
func FormatEvent(event *wire.Event) string {
	stamp := time.UnixMicro(event.GetStamp().GetWallMicros()).UTC().Format("15:04:05.000000")
	line := fmt.Sprintf("%s.%d instance=%s event=%s", stamp, event.GetStamp().GetLogical(), event.GetInstance(), timeline.KindName(event.GetKind()))
	for _, pair := range timeline.Fields(event) {
		line += " " + pair.Name + "=" + quoteIfNeeded(pair.Value)
	}
	return line
}

func quoteIfNeeded(value string) string {
	if strings.ContainsAny(value, " \"=\n") {
		return strconv.Quote(value)
	}
	return value
}
