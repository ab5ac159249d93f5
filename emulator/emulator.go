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

// Faults is what is wrong with a stand-in; the zero value is a healthy one. It is the body of POST /faults.
type Faults struct {
	// Down refuses every connection until it is lifted through the control address of another stand-in.
	Down bool
	// SlowMs is added to each call.
	SlowMs int64
	// SlowFactor multiplies the time of each call; 0 means 1.
	SlowFactor int64
	// CrashOn makes the stand-in die on a call that contains the text.
	CrashOn string
	// BreakAfterTokens cuts a stream after so many tokens, once for each request.
	BreakAfterTokens int
	// AnswerOther sends the identity of an earlier call back.
	AnswerOther bool
	// Garbage answers with something that is not JSON.
	Garbage bool
	// ActThenClose carries the call out and closes the connection without an answer.
	ActThenClose bool
	// CutShort sends half of an answer.
	CutShort bool
	// Leaving refuses new work and says that the instance is going.
	Leaving bool
	// Busy refuses new work.
	Busy bool
	// LoseAnswers makes the table service carry out a commit and close the connection.
	LoseAnswers bool
	// LagMs delays what the instance list shows.
	LagMs int64
}

// Standin is one emulated system.
type Standin struct {
	name     string
	config   *plan.Standin
	faults   atomic.Pointer[Faults]
	server   *http.Server
	listener net.Listener
	address  string
	handler  http.Handler
	slots    *slots
	rows     rows
	effects  effects
	orders   orders
	list     list
	lastID   atomic.Pointer[identity]
	broken   sync.Map
	calls    atomic.Int64
	mu       sync.Mutex
}

// identity is the call that an AnswerOther fault sends back.
type identity struct {
	request, stage, attempt string
}

// New returns a stand-in that is not listening yet.
func New(name string, config *plan.Standin) *Standin {
	sd := &Standin{name: name, config: config, address: config.GetAddress(), slots: newSlots(config.GetSlots())}
	sd.rows.content = map[string]storedRow{}
	sd.faults.Store(&Faults{})
	// Also the first call must have another one's identity to be answered with.
	sd.lastID.Store(&identity{request: "none", stage: "none", attempt: "0"})
	sd.handler = sd.routes()
	return sd
}

// Address returns the IP number and port that the stand-in listens on.
func (sd *Standin) Address() string {
	return sd.address
}

// SetFaults replaces what is wrong with the stand-in.
func (sd *Standin) SetFaults(faults Faults) {
	sd.faults.Store(&faults)
}

// Calls returns how many calls of work have arrived.
func (sd *Standin) Calls() int64 {
	return sd.calls.Load()
}

// Start listens on the configured address; port 0 takes any free one, which later starts keep.
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

// Stop closes the listener and every connection, as the end of a process would.
func (sd *Standin) Stop() {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	if sd.server != nil {
		// The listener is closed by itself: a server that has not begun to serve does not know it yet.
		_ = sd.listener.Close()
		_ = sd.server.Close()
		sd.server = nil
	}
}

// routes returns all paths; which of them make sense depends on the kind.
func (sd *Standin) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", sd.postFaults)
	mux.HandleFunc("GET /effects", func(writer http.ResponseWriter, _ *http.Request) { reply(writer, sd.effects.all()) })
	switch sd.config.GetKind() {
	case "Platform":
		sd.platformRoutes(mux)
	case "Engine":
		mux.HandleFunc("POST /v1/completions", sd.work(sd.complete))
		sd.orderRoutes(mux)
	case "Service":
		mux.HandleFunc("POST /", sd.work(sd.act))
	default:
		mux.HandleFunc("POST /v1/embeddings", sd.work(sd.embed))
		mux.HandleFunc("POST /v1/search", sd.work(sd.search))
		mux.HandleFunc("POST /v1/rerank", sd.work(sd.rerank))
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
	reply(writer, faults)
	if faults.Down {
		go sd.Stop()
	}
}

func reply(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

// Run serves until ctx ends; done is closed then.
func (sd *Standin) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	<-ctx.Done()
	sd.Stop()
}

// echo sends the identity of the call back with its answer.
func (sd *Standin) echo(writer http.ResponseWriter, request *http.Request) {
	own := &identity{
		request: request.Header.Get(upstream.HeaderRequestID), stage: request.Header.Get(upstream.HeaderStage),
		attempt: request.Header.Get(upstream.HeaderAttempt),
	}
	sent := own
	if before := sd.lastID.Swap(own); sd.faults.Load().AnswerOther {
		sent = before
	}
	writer.Header().Set(upstream.HeaderRequestID, sent.request)
	writer.Header().Set(upstream.HeaderStage, sent.stage)
	writer.Header().Set(upstream.HeaderAttempt, sent.attempt)
}
