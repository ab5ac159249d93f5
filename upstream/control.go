package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/turmericdoor/turmericdoor/order"
	"github.com/turmericdoor/turmericdoor/readlimit"
)

// ModelsBody is the request body of POST /v1/models and the answer to GET /v1/models of an engine.
type ModelsBody struct {
	Fence    int64    `json:"fence"`
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
}

// StatusError reports that an engine answered with a status other than 200.
type StatusError struct {
	Status int
}

// Error returns a message with the status.
func (se StatusError) Error() string {
	return "engine answered with status " + strconv.Itoa(se.Status)
}

// ReadEngine returns the model and the adapters that an engine has loaded.
func (cl *Client) ReadEngine(ctx context.Context, address string) (order.State, error) {
	body := ModelsBody{}
	err := cl.control(ctx, http.MethodGet, address, nil, &body)
	return order.State{Model: body.Model, Adapters: body.Adapters}, err
}

// OrderEngine orders an engine to load the wanted model and adapters, under the fencing token fence. The order uses
// a new connection, so that net/http never sends it a second time.
func (cl *Client) OrderEngine(ctx context.Context, address string, fence int64, wanted order.State) error {
	encoded, err := json.Marshal(ModelsBody{Fence: fence, Model: wanted.Model, Adapters: wanted.Adapters})
	if err != nil {
		return err
	}
	return cl.control(ctx, http.MethodPost, address, encoded, &ModelsBody{})
}

// maxControlBytes limits the answer of an engine about its models.
const maxControlBytes = 1 << 20

// control calls /v1/models of an engine and decodes the answer into body.
func (cl *Client) control(ctx context.Context, method, address string, encoded []byte, body *ModelsBody) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/v1/models", bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	request.GetBody = nil
	response, err := cl.unpooled.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return StatusError{Status: response.StatusCode}
	}
	raw, err := readlimit.All(response.Body, maxControlBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, body)
}
