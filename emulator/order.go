package emulator

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Order tells an engine which model and adapters to hold. Fence is the number of the lease of who sends it.
type Order struct {
	Fence    int64    `json:"fence"`
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
}

// orders is an engine's state as orders left it.
type orders struct {
	mu       sync.Mutex
	state    Order
	accepted []Order
}

// take carries out an order unless it is old and the engine checks that.
func (od *orders) take(order Order, checks bool) bool {
	od.mu.Lock()
	defer od.mu.Unlock()
	if checks && order.Fence < od.state.Fence {
		return false
	}
	od.state = order
	od.accepted = append(od.accepted, order)
	return true
}

// Orders returns every order that was carried out, in order.
func (sd *Standin) Orders() []Order {
	sd.orders.mu.Lock()
	defer sd.orders.mu.Unlock()
	return append([]Order{}, sd.orders.accepted...)
}

func (sd *Standin) orderRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/models", func(writer http.ResponseWriter, _ *http.Request) {
		sd.orders.mu.Lock()
		defer sd.orders.mu.Unlock()
		reply(writer, sd.orders.state)
	})
	mux.HandleFunc("POST /v1/models", func(writer http.ResponseWriter, request *http.Request) {
		order := Order{}
		if json.NewDecoder(request.Body).Decode(&order) != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		if !sd.orders.take(order, sd.config.GetChecksFence()) {
			writer.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		reply(writer, order)
	})
}
