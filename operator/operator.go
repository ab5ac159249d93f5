package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/editor"
	"github.com/turmericdoor/turmericdoor/inifile"
	"github.com/turmericdoor/turmericdoor/metric"
	"github.com/turmericdoor/turmericdoor/peer"
	"github.com/turmericdoor/turmericdoor/revision"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// Instance is the part of an entry instance that operators control and inspect.
type Instance interface {
	Status(ctx context.Context) Status
	Ready() (bool, string)
	LeaveUpstream(ctx context.Context, name string) (stored bool, err error)
	DocumentFetched(text document.Text)
	Stop()
}

// Handler serves the requests of operators.
type Handler struct {
	KeyDigest digest.Sum
	Holder    *revision.Holder
	Editor    *editor.Editor
	Peer      *peer.Peer
	Metrics   *metric.Set
	Instance  Instance
	MaxBody   int64
}

// Routes returns the HTTP handler for all paths.
func (hd *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "ok\n") })
	mux.HandleFunc("GET /readyz", hd.ready)
	mux.HandleFunc("GET /metrics", func(writer http.ResponseWriter, _ *http.Request) { hd.Metrics.Write(writer) })
	mux.HandleFunc("GET /v1/status", hd.requireOperator(hd.status))
	mux.HandleFunc("GET /v1/timeline", hd.requireOperator(hd.timeline))
	mux.HandleFunc("GET /v1/document", hd.requireOperator(hd.document))
	mux.HandleFunc("GET /v1/document/history", hd.requireOperator(hd.history))
	mux.HandleFunc("GET /v1/document/edits/{EditId}", hd.requireOperator(hd.edit))
	mux.HandleFunc("GET /v1/document/revisions", hd.requireOperator(hd.revisions))
	mux.HandleFunc("POST /v1/document/teams/{Team}/check", hd.requireOperator(hd.check))
	mux.HandleFunc("PUT /v1/document/teams/{Team}", hd.put)
	mux.HandleFunc("POST /v1/upstreams/{Upstream}/leave", hd.requireOperator(hd.leave))
	mux.HandleFunc("POST /v1/stop", hd.requireFleetOperator(hd.stop))
	return mux
}

// bearerKey returns the key in the Authorization header.
func bearerKey(request *http.Request) string {
	key, _ := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	return key
}

// isFleetKey reports whether the key is the fleet operators' key.
func (hd *Handler) isFleetKey(key string) bool {
	return digest.OfKey(key).Equal(hd.KeyDigest)
}

// mayEdit reports whether the key allows edits of a team's sections.
func (hd *Handler) mayEdit(key, team string) bool {
	if hd.isFleetKey(key) {
		return true
	}
	current := hd.Holder.Current()
	if current == nil {
		return false
	}
	owner, found := current.Teams[team]
	return found && owner.HasKey(key)
}

// requireOperator returns a handler that calls next if the request has the key of the fleet's operators or a key of any
// team, and otherwise answers with status 401.
func (hd *Handler) requireOperator(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		key := bearerKey(request)
		allowed := hd.isFleetKey(key)
		if current := hd.Holder.Current(); current != nil {
			for _, team := range current.Teams {
				allowed = team.HasKey(key) || allowed
			}
		}
		if !allowed {
			writeFailure(writer, http.StatusUnauthorized, "UnknownKey", "the header Authorization must be \"Bearer\" and an operator's key")
			return
		}
		next(writer, request)
	}
}

// requireFleetOperator returns a handler that calls next if the request has the key of the fleet's operators, and otherwise
// answers with status 401.
func (hd *Handler) requireFleetOperator(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if !hd.isFleetKey(bearerKey(request)) {
			writeFailure(writer, http.StatusUnauthorized, "UnknownKey", "this takes the key of the fleet's operators")
			return
		}
		next(writer, request)
	}
}

func (hd *Handler) ready(writer http.ResponseWriter, _ *http.Request) {
	ready, reason := hd.Instance.Ready()
	if !ready {
		writeFailure(writer, http.StatusServiceUnavailable, "InstanceNotReady", reason)
		return
	}
	_, _ = io.WriteString(writer, "ready\n")
}

func (hd *Handler) status(writer http.ResponseWriter, request *http.Request) {
	writeJSON(writer, hd.Instance.Status(request.Context()))
}

// revisions returns the revision of the document in force on each live instance, by instance ID, or -1 for an instance that
// does not answer; it asks the others.
func (hd *Handler) revisions(writer http.ResponseWriter, request *http.Request) {
	writeJSON(writer, hd.Peer.Revisions(request.Context()))
}

func (hd *Handler) stop(writer http.ResponseWriter, _ *http.Request) {
	hd.Instance.Stop()
	writeJSON(writer, struct{ Stopping bool }{true})
}

func (hd *Handler) leave(writer http.ResponseWriter, request *http.Request) {
	stored, err := hd.Instance.LeaveUpstream(request.Context(), request.PathValue("Upstream"))
	if err != nil {
		writeFailure(writer, http.StatusNotFound, "UnknownUpstream", err.Error())
		return
	}
	writeJSON(writer, struct{ Leaving, Stored bool }{true, stored})
}

// document returns the document from the platform, or the revision in force here if the platform is unavailable.
func (hd *Handler) document(writer http.ResponseWriter, request *http.Request) {
	text, err := hd.Editor.Fetch(request.Context())
	if err == nil {
		writeJSON(writer, text)
		return
	}
	current := hd.Holder.Current()
	if current == nil {
		writeFailure(writer, http.StatusServiceUnavailable, "PlatformUnavailable", err.Error())
		return
	}
	writer.Header().Set("Warning", "110 - \"platform unavailable, this is the revision in force here\"")
	writeJSON(writer, current.Text)
}

// history returns all revisions of the document, newest first, each with the team, the author and the time of its edit.
func (hd *Handler) history(writer http.ResponseWriter, request *http.Request) {
	entries, err := hd.Editor.History(request.Context())
	if err != nil {
		writeFailure(writer, http.StatusServiceUnavailable, "PlatformUnavailable", err.Error())
		return
	}
	writeJSON(writer, entries)
}

func (hd *Handler) edit(writer http.ResponseWriter, request *http.Request) {
	entry, found, err := hd.Editor.FindEdit(request.Context(), request.PathValue("EditId"))
	switch {
	case err != nil:
		writeFailure(writer, http.StatusServiceUnavailable, "PlatformUnavailable", err.Error())
	case !found:
		writeFailure(writer, http.StatusNotFound, "UnknownEdit", "no edit with this id was accepted")
	default:
		writeJSON(writer, entry)
	}
}

// check validates a team's text together with the other teams' current texts, without writing it.
func (hd *Handler) check(writer http.ResponseWriter, request *http.Request) {
	edit, ok := hd.readEdit(writer, request)
	if !ok {
		return
	}
	text := document.Text{}
	if current := hd.Holder.Current(); current != nil {
		text = current.Text
	}
	text = text.With(document.TeamText{Team: request.PathValue("Team"), Text: edit.Text})
	_, faults := document.Parse(text)
	if len(faults) > 0 {
		writeJSONStatus(writer, http.StatusUnprocessableEntity, EditResult{Outcome: "Invalid", Faults: faultStrings(faults)})
		return
	}
	writeJSON(writer, EditResult{Outcome: "Valid"})
}

func faultStrings(faults []inifile.Fault) []string {
	list := []string{}
	for _, fault := range faults {
		list = append(list, fault.String())
	}
	return list
}

func (hd *Handler) readEdit(writer http.ResponseWriter, request *http.Request) (Edit, bool) {
	edit := Edit{}
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, hd.MaxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&edit); err != nil {
		writeFailure(writer, http.StatusBadRequest, "BadRequest", err.Error())
		return edit, false
	}
	return edit, true
}

// put replaces a team's text and installs the new document on this instance if the edit is accepted.
func (hd *Handler) put(writer http.ResponseWriter, request *http.Request) {
	team := request.PathValue("Team")
	if !hd.mayEdit(bearerKey(request), team) {
		writeFailure(writer, http.StatusForbidden, "NotYourSection", "the key may not edit the sections of team "+strconv.Quote(team))
		return
	}
	edit, ok := hd.readEdit(writer, request)
	if !ok {
		return
	}
	if !inifile.IsValidName(edit.EditID) || !inifile.IsValidName(team) {
		writeFailure(writer, http.StatusBadRequest, "BadRequest", "EditId and the team must be names of letters, digits, dots, underscores and hyphens")
		return
	}
	outcome := hd.Editor.Put(request.Context(), editor.Edit{
		ID: edit.EditID, Team: team, ExpectedRevision: edit.Expected, Text: edit.Text, Author: edit.Author,
	})
	if accepted, isAccepted := outcome.(editor.Accepted); isAccepted && accepted.Text != nil {
		hd.Instance.DocumentFetched(*accepted.Text)
	}
	status, result := newEditResult(outcome)
	writeJSONStatus(writer, status, result)
}

// newEditResult converts an outcome of the editor to an HTTP status and a body.
func newEditResult(outcome editor.Outcome) (int, EditResult) {
	switch ended := outcome.(type) {
	case editor.Accepted:
		return http.StatusOK, EditResult{Outcome: "Accepted", Revision: ended.Revision}
	case editor.Conflict:
		return http.StatusConflict, EditResult{Outcome: "Conflict", Theirs: ended.Current.Text, TheirsRevision: ended.Current.Revision}
	case editor.Invalid:
		return http.StatusUnprocessableEntity, EditResult{Outcome: "Invalid", Faults: faultStrings(ended.Faults)}
	case editor.Undecided:
		return http.StatusGatewayTimeout, EditResult{Outcome: "Undecided", Cause: ended.Cause}
	case editor.Unavailable:
		return http.StatusServiceUnavailable, EditResult{Outcome: "Unavailable", Cause: ended.Cause}
	}
	return http.StatusInternalServerError, EditResult{Outcome: "Undecided"}
}

// TimelineReply is the body of GET /v1/timeline. Events holds the JSON form of the schema's Event, Overwritten the
// number of dropped events by instance, and Silent the instances that did not answer.
type TimelineReply struct {
	Events      []json.RawMessage
	Overwritten map[string]uint64
	Silent      []string
}

func (hd *Handler) timeline(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	number := func(name string) int64 {
		value, _ := strconv.ParseInt(query.Get(name), 10, 64)
		return value
	}
	collected := hd.Peer.CollectEvents(request.Context(), &wire.FetchEventsRequest{
		RequestId: query.Get("RequestId"), Upstream: query.Get("Upstream"), Organisation: query.Get("Organisation"),
		Kind: query.Get("Kind"), FromMicros: number("FromMicros"), ToMicros: number("ToMicros"), Limit: number("Limit"),
	})
	body := TimelineReply{Overwritten: collected.Overwritten, Silent: collected.Unreachable}
	for _, event := range collected.Events {
		encoded, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(event)
		if err == nil {
			body.Events = append(body.Events, encoded)
		}
	}
	writeJSON(writer, body)
}

func writeJSON(writer http.ResponseWriter, value any) {
	writeJSONStatus(writer, http.StatusOK, value)
}

func writeJSONStatus(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

func writeFailure(writer http.ResponseWriter, status int, code, message string) {
	writeJSONStatus(writer, status, Failure{Code: code, Message: message})
}
