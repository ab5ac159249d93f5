package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
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
	"github.com/turmericdoor/turmericdoor/readlimit"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// call sends a request to an instance's operator address and decodes the reply into result. It returns the HTTP
// status; a reply that is an operator.Failure becomes an error.
func (cl *CLI) call(method, path string, body, result any) (int, error) {
	ctx, cancel := cl.withTimeout()
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	response, err := cl.send(ctx, method, path, encoded)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	raw, err := readlimit.All(response.Body, maxAnswer)
	if err != nil {
		return 0, exitErrorf(ExitUnreachable, "read answer of %q: %v", cl.options.address, err)
	}
	failure := operator.Failure{}
	if response.StatusCode >= http.StatusBadRequest && json.Unmarshal(raw, &failure) == nil && failure.Code != "" {
		return response.StatusCode, exitErrorf(ExitRefused, "%s: %s", failure.Code, failure.Message)
	}
	return response.StatusCode, json.Unmarshal(raw, result)
}

// withTimeout returns a context that ends at the command's timeout, by the CLI's timers.
func (cl *CLI) withTimeout() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(context.Background())
	stop := cl.Timers.AfterFunc(timer.Milliseconds(cl.options.timeoutMs), func() { cancel(context.DeadlineExceeded) })
	return ctx, func() { stop(); cancel(nil) }
}

const (
	// maxHead bounds the head of an answer, maxAnswer an answer and maxStream a streamed answer, in bytes.
	maxHead   = 64 << 10
	maxAnswer = 32 << 20
	maxStream = 64 << 20
)

// newHTTPClient returns the client for one command.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHead}}
}

// send makes an HTTP request with the key of the options; the caller of send closes the response body.
func (cl *CLI) send(ctx context.Context, method, path string, encoded []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, cl.baseURL()+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, exitErrorf(ExitBadInput, "invalid address %q: %v", cl.options.address, err)
	}
	request.Header.Set("Authorization", "Bearer "+cl.options.key)
	response, err := newHTTPClient().Do(request)
	if err != nil {
		return nil, exitErrorf(ExitUnreachable, "instance %q can't be reached: %v", cl.options.address, err)
	}
	return response, nil
}

func (cl *CLI) baseURL() string {
	if strings.Contains(cl.options.address, "://") {
		return cl.options.address
	}
	return "http://" + cl.options.address
}

// printResult prints a value as JSON if --json is set, and calls plain otherwise.
func (cl *CLI) printResult(value any, plain func()) error {
	if !cl.options.json {
		plain()
		return nil
	}
	encoder := json.NewEncoder(cl.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (cl *CLI) leave() error {
	if cl.options.upstream == "" {
		return exitErrorf(ExitBadInput, "--upstream is required")
	}
	result := struct{ Leaving, Stored bool }{}
	if _, err := cl.call(http.MethodPost, "/v1/upstreams/"+url.PathEscape(cl.options.upstream)+"/leave", nil, &result); err != nil {
		return err
	}
	return cl.printResult(result, func() {
		fmt.Fprintf(cl.out, "%s gets no new work\n", cl.options.upstream)
		if !result.Stored {
			fmt.Fprintln(cl.out, "the platform did not store this; repeat the command when the platform is available")
		}
	})
}

func (cl *CLI) stop() error {
	result := struct{ Stopping bool }{}
	if _, err := cl.call(http.MethodPost, "/v1/stop", nil, &result); err != nil {
		return err
	}
	return cl.printResult(result, func() { fmt.Fprintln(cl.out, "stopping; the instance ends when no request is in flight") })
}

func (cl *CLI) status() error {
	status := operator.Status{}
	if _, err := cl.call(http.MethodGet, "/v1/status", nil, &status); err != nil {
		return err
	}
	return cl.printResult(status, func() { cl.printStatus(status) })
}

func (cl *CLI) printStatus(status operator.Status) {
	fmt.Fprintf(cl.out, "%s in %s: %s, revision %d, %d in flight, platform up %t, %d claims to write\n",
		status.ID, status.FailureDomain, status.Phase, status.Revision, status.InFlight, status.PlatformUp, status.ClaimsOwed)
	for _, mb := range status.Members {
		fmt.Fprintf(cl.out, "  member %-16s %-8s %-22s %s revision %d\n", mb.ID, mb.Liveness, mb.Address, mb.FailureDomain, mb.Revision)
	}
	for _, each := range status.Pools {
		fmt.Fprintf(cl.out, "  pool %s: %d waiting\n", each.Name, each.Waiting)
		for _, up := range each.Upstreams {
			fmt.Fprintf(cl.out, "    %-16s %d of %d in flight%s%s\n", up.Upstream, up.InFlight, up.Limit, textIf(up.Leaving, " leaving"), textIf(up.Ejected, " ejected"))
		}
	}
}

func textIf(set bool, text string) string {
	if set {
		return text
	}
	return ""
}

func (cl *CLI) getDocument() error {
	text := document.Text{}
	if _, err := cl.call(http.MethodGet, "/v1/document", nil, &text); err != nil {
		return err
	}
	if cl.options.team == "" {
		return cl.printResult(text, func() { cl.printDocument(text) })
	}
	team, found := text.Team(cl.options.team)
	if !found {
		return exitErrorf(ExitRefused, "no team %q in revision %d", cl.options.team, text.Revision)
	}
	return cl.printResult(team, func() { fmt.Fprintf(cl.out, "; team %s, revision %d\n%s", team.Team, team.Revision, team.Text) })
}

func (cl *CLI) printDocument(text document.Text) {
	fmt.Fprintf(cl.out, "; document revision %d\n", text.Revision)
	for _, team := range text.Teams {
		fmt.Fprintf(cl.out, "; team %s, revision %d\n%s\n", team.Team, team.Revision, team.Text)
	}
}

// putDocument replaces a team's text; the document consists of one text for each team. If it is unknown whether the
// edit was accepted, the error says so and names the edit's id, with which the command can be repeated safely.
func (cl *CLI) putDocument() error {
	content, err := os.ReadFile(cl.options.file)
	if err != nil {
		return badInput(err)
	}
	if cl.options.editID == "" {
		cl.options.editID = entropy.NewRandom().NewID()
	}
	edit := operator.Edit{
		EditID: cl.options.editID, Expected: cl.options.expected, Text: string(content), Author: cl.options.author,
	}
	result := operator.EditResult{}
	if _, err := cl.call(http.MethodPut, "/v1/document/teams/"+url.PathEscape(cl.options.team), edit, &result); err != nil {
		return err
	}
	if err := cl.editError(result); err != nil {
		return err
	}
	if err := cl.printResult(result, func() { fmt.Fprintf(cl.out, "accepted as revision %d\n", result.Revision) }); err != nil {
		return err
	}
	if !cl.options.wait {
		return nil
	}
	cl.options.revision = result.Revision
	return cl.waitDocument()
}

// editError returns nil for an accepted edit. Otherwise it returns an error with the reason: the edit was refused, the
// instance does not know whether it was accepted, or the platform was unavailable. Each has its exit code.
func (cl *CLI) editError(result operator.EditResult) error {
	switch result.Outcome {
	case "Accepted":
		return nil
	case "Invalid":
		return exitErrorf(ExitRefused, "the edit makes the document invalid:\n%s", strings.Join(result.Faults, "\n"))
	case "Conflict":
		return exitErrorf(ExitRefused, "team %q is at revision %d, not %d; the text of that revision is:\n%s", cl.options.team, result.TheirsRevision, cl.options.expected, result.Theirs)
	case "Undecided":
		return exitErrorf(ExitUndecided, "unknown whether the edit was accepted (%s); repeat the command with --edit-id %s", result.Cause, cl.options.editID)
	default:
		return exitErrorf(ExitUnreachable, "the edit was not accepted: %s", result.Cause)
	}
}

func (cl *CLI) history() error {
	entries := []editor.Entry{}
	if _, err := cl.call(http.MethodGet, "/v1/document/history", nil, &entries); err != nil {
		return err
	}
	return cl.printResult(entries, func() {
		for _, entry := range entries {
			fmt.Fprintf(cl.out, "%6d %s %-16s %-16s %s\n", entry.Revision, time.UnixMilli(entry.UnixMilli).UTC().Format(time.RFC3339), entry.Team, entry.Author, entry.EditID)
		}
	})
}

// waitInterval is the time between two reads of the revisions in force.
const waitInterval = 100 * time.Millisecond

// waitDocument waits until every live instance reports that the wanted revision of the document, or a newer one, is in
// force. After the timeout it returns an error with the instances that do not, and the revision that each reports.
func (cl *CLI) waitDocument() error {
	deadline := time.Now().Add(time.Duration(cl.options.timeoutMs) * time.Millisecond)
	for {
		revisions := map[string]int64{}
		if _, err := cl.call(http.MethodGet, "/v1/document/revisions", nil, &revisions); err != nil {
			return err
		}
		behind := instancesBehind(revisions, cl.options.revision)
		if len(behind) == 0 {
			return cl.printResult(revisions, func() {
				fmt.Fprintf(cl.out, "revision %d is in force on %d instances\n", cl.options.revision, len(revisions))
			})
		}
		if time.Now().After(deadline) {
			return exitErrorf(ExitUndecided, "revision %d is not in force on: %s", cl.options.revision, strings.Join(behind, ", "))
		}
		time.Sleep(waitInterval)
	}
}

// instancesBehind returns the instances that report an older revision than wanted, or -1 because they did not answer.
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

func (cl *CLI) timeline() error {
	query := url.Values{}
	query.Set("RequestId", cl.options.request)
	query.Set("Upstream", cl.options.upstream)
	query.Set("Organisation", cl.options.organisation)
	query.Set("Kind", cl.options.kind)
	query.Set("Limit", strconv.FormatInt(cl.options.limit, 10))
	collected := operator.TimelineReply{}
	if _, err := cl.call(http.MethodGet, "/v1/timeline?"+query.Encode(), nil, &collected); err != nil {
		return err
	}
	return cl.printResult(collected, func() { cl.printTimeline(collected) })
}

func (cl *CLI) printTimeline(collected operator.TimelineReply) {
	for _, raw := range collected.Events {
		event := &wire.Event{}
		if protojson.Unmarshal(raw, event) == nil {
			fmt.Fprintln(cl.out, FormatEvent(event))
		}
	}
	for id, count := range collected.Overwritten {
		if count > 0 {
			fmt.Fprintf(cl.out, "; %s has dropped its oldest %d events\n", id, count)
		}
	}
	for _, id := range collected.Silent {
		fmt.Fprintf(cl.out, "; %s did not answer\n", id)
	}
}

// FormatEvent returns an event as one line of key=value pairs.
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
