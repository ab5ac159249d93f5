package emulator

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Order sets the model and adapters that an engine loads. Fence is the fencing token of the sender's lease.
type Order struct {
	Fence    int64    `json:"fence"`
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
}

// orders holds the model and adapters of an engine and the orders that it has applied.
type orders struct {
	mu      sync.Mutex
	state   Order
	applied []Order
}

// apply executes an order and reports whether it did. If checksFence is true, it refuses an order whose
// fencing token is lower than that of the last applied order.
func (od *orders) apply(order Order, checksFence bool) bool {
	od.mu.Lock()
	defer od.mu.Unlock()
	if checksFence && order.Fence < od.state.Fence {
		return false
	}
	od.state = order
	od.applied = append(od.applied, order)
	return true
}

// Orders returns the applied orders, oldest first.
func (sd *Standin) Orders() []Order {
	sd.orders.mu.Lock()
	defer sd.orders.mu.Unlock()
	return append([]Order{}, sd.orders.applied...)
}

func (sd *Standin) addOrderRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/models", func(writer http.ResponseWriter, _ *http.Request) {
		sd.orders.mu.Lock()
		defer sd.orders.mu.Unlock()
		writeJSON(writer, sd.orders.state)
	})
	mux.HandleFunc("POST /v1/models", func(writer http.ResponseWriter, request *http.Request) {
		order := Order{}
		if json.NewDecoder(request.Body).Decode(&order) != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		if !sd.orders.apply(order, sd.config.GetChecksFence()) {
			writer.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		writeJSON(writer, order)
	})
}
