package emulator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericdoor/turmericdoor/schema/plan"
	"github.com/turmericdoor/turmericdoor/upstream"
)

// Faults are the faults injected into a stand-in; it is healthy with the zero value. The body of POST
// /faults has this type.
type Faults struct {
	// Down closes the listener and all connections. POST /faults can't reach the stand-in then; only Start
	// makes it listen again.
	Down bool
	// SlowMs is added to the duration of each call, in milliseconds.
	SlowMs int64
	// SlowFactor multiplies the duration of each call; 0 means 1.
	SlowFactor int64
	// CrashOn stops the stand-in when the body of a call contains this text; empty means never.
	CrashOn string
	// BreakAfterTokens closes the connection of a stream after this number of tokens, once for each request
	// ID; 0 means never.
	BreakAfterTokens int
	// AnswerOther returns the identity headers of the previous call instead of those of the current one.
	AnswerOther bool
	// Garbage sends a response body that is not valid JSON.
	Garbage bool
	// ActThenClose executes the call and closes the connection without a response.
	ActThenClose bool
	// CutShort sends the first half of the response body, with the Content-Length of the whole.
	CutShort bool
	// EarlyReset executes the call and answers before it has read the body, with a response without a length, whose connection it
	// resets EarlyResetMs later.
	EarlyReset   bool
	EarlyResetMs int64
	// Status replaces the status of a response, as three characters; "000" is none.
	Status string
	// Leaving refuses calls as not executed and announces in a header that the stand-in is shutting down.
	Leaving bool
	// Busy refuses calls with status 503; upstreams also mark them as not executed.
	Busy bool
	// LoseAnswers makes the table service apply a commit and close the connection without a response.
	LoseAnswers bool
	// LagMs is how long the instance list keeps showing its previous content after a change, in milliseconds.
	LagMs int64
}

// Standin is the HTTP server of one emulated system.
type Standin struct {
	name          string
	config        *plan.Standin
	faults        atomic.Pointer[Faults]
	server        *http.Server
	listener      net.Listener
	address       string
	handler       http.Handler
	slots         *slots
	rows          rows
	effects       effects
	orders        orders
	instances     instanceList
	lastIdentity  atomic.Pointer[identity]
	brokenStreams sync.Map
	calls         atomic.Int64
	mu            sync.Mutex
}

// identity holds the values of the headers that identify a call: the request ID, the stage and the number of
// the attempt. An upstream returns them with its response.
type identity struct {
	request, stage, attempt string
}

// New returns a healthy stand-in that is not listening yet; Start makes it listen.
func New(name string, config *plan.Standin) *Standin {
	sd := &Standin{name: name, config: config, address: config.GetAddress(), slots: newSlots(config.GetSlots())}
	sd.rows.content = map[string]storedRow{}
	sd.faults.Store(&Faults{})
	// With the fault AnswerOther, the first call needs a previous identity too.
	sd.lastIdentity.Store(&identity{request: "none", stage: "none", attempt: "0"})
	sd.handler = sd.newRoutes()
	return sd
}

// Address returns the configured IP address and port, or those that the stand-in listens on once Start has
// chosen a port.
func (sd *Standin) Address() string {
	return sd.address
}

// SetFaults replaces the injected faults. It does not stop the stand-in if Down is set; POST /faults does.
func (sd *Standin) SetFaults(faults Faults) {
	sd.faults.Store(&faults)
}

// Calls returns the number of calls received on the paths that do work, including refused ones.
func (sd *Standin) Calls() int64 {
	return sd.calls.Load()
}

// Start listens on the configured address and serves in the background. Port 0 selects a free port, which
// later starts reuse.
func (sd *Standin) Start() error {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	listener, err := net.Listen("tcp", sd.address)
	if err != nil {
		return err
	}
	sd.address = listener.Addr().String()
	sd.listener = listener
	sd.server = &http.Server{Handler: sd.handler, ReadHeaderTimeout: 10 * time.Second}
	go func(server *http.Server) { _ = server.Serve(listener) }(sd.server)
	return nil
}

// Stop closes the listener and all connections, as the exit of the process would. Start can be called again.
func (sd *Standin) Stop() {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	if sd.server != nil {
		// server.Close closes only listeners that Serve has registered, and Serve may not have run yet.
		_ = sd.listener.Close()
		_ = sd.server.Close()
		sd.server = nil
	}
}

// newRoutes returns the paths of the configured kind, and the two control paths that all kinds have.
func (sd *Standin) newRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", sd.postFaults)
	mux.HandleFunc("GET /effects", func(writer http.ResponseWriter, _ *http.Request) { writeJSON(writer, sd.effects.snapshot()) })
	switch sd.config.GetKind() {
	case "Platform":
		sd.addPlatformRoutes(mux)
	case "Engine":
		mux.HandleFunc("POST /v1/completions", sd.handleCall(sd.complete))
		sd.addOrderRoutes(mux)
	case "Service":
		mux.HandleFunc("POST /", sd.handleCall(sd.performEffect))
	default:
		mux.HandleFunc("POST /v1/embeddings", sd.handleCall(sd.embed))
		mux.HandleFunc("POST /v1/search", sd.handleCall(sd.search))
		mux.HandleFunc("POST /v1/rerank", sd.handleCall(sd.rerank))
	}
	return mux
}

func (sd *Standin) postFaults(writer http.ResponseWriter, request *http.Request) {
	faults := Faults{}
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	sd.SetFaults(faults)
	writeJSON(writer, faults)
	if faults.Down {
		go sd.Stop()
	}
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

// Run waits until ctx is done, stops the stand-in and closes done. Start must have been called.
func (sd *Standin) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	<-ctx.Done()
	sd.Stop()
}

// echoIdentity copies the identity headers of the call to its response.
func (sd *Standin) echoIdentity(writer http.ResponseWriter, request *http.Request) {
	own := &identity{
		request: request.Header.Get(upstream.HeaderRequestID), stage: request.Header.Get(upstream.HeaderStage),
		attempt: request.Header.Get(upstream.HeaderAttempt),
	}
	echoed := own
	if previous := sd.lastIdentity.Swap(own); sd.faults.Load().AnswerOther {
		echoed = previous
	}
	writer.Header().Set(upstream.HeaderRequestID, echoed.request)
	writer.Header().Set(upstream.HeaderStage, echoed.stage)
	writer.Header().Set(upstream.HeaderAttempt, echoed.attempt)
}
