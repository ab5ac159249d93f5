package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/invariant"
	"github.com/turmericdoor/turmericdoor/readlimit"
)

// The bodies below follow the completions, embeddings and rerank APIs that model servers have in common.

// EmbeddingRequest is the body of POST /v1/embeddings.
type EmbeddingRequest struct {
	Input string `json:"input"`
}

// EmbeddingReply is the answer to an EmbeddingRequest.
type EmbeddingReply struct {
	Embedding []float64 `json:"embedding"`
}

// SearchRequest is the body of POST /v1/search.
type SearchRequest struct {
	Vector []float64 `json:"vector"`
	TopK   int64     `json:"top_k"`
}

// SearchReply is the answer to a SearchRequest.
type SearchReply struct {
	Documents []Passage `json:"documents"`
}

// RerankRequest is the body of POST /v1/rerank.
type RerankRequest struct {
	Query     string    `json:"query"`
	Documents []Passage `json:"documents"`
	TopN      int64     `json:"top_n"`
}

// CompletionRequest is the body of POST /v1/completions; generation continues after the tokens in Resume.
type CompletionRequest struct {
	Model     string   `json:"model"`
	Adapter   string   `json:"adapter,omitempty"`
	Prompt    string   `json:"prompt"`
	MaxTokens int64    `json:"max_tokens"`
	Stream    bool     `json:"stream"`
	Priority  int      `json:"priority"`
	Resume    []string `json:"resume,omitempty"`
}

// CompletionChunk is one token of a streamed completion.
type CompletionChunk struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// StreamEnd is the data of the last event of a streamed completion.
const StreamEnd = "[DONE]"

// encode returns the path and the request body of a call.
func encode(call *Call) (string, []byte) {
	switch call.Kind {
	case document.Encoder:
		return "/v1/embeddings", marshal(EmbeddingRequest{Input: call.Payload.Query})
	case document.Retriever:
		return "/v1/search", marshal(SearchRequest{Vector: call.Payload.Vector, TopK: call.Candidates})
	case document.Reranker:
		return "/v1/rerank", marshal(RerankRequest{Query: call.Payload.Query, Documents: call.Payload.Passages, TopN: call.Candidates})
	case document.Engine:
		return "/v1/completions", marshal(CompletionRequest{
			Model: call.Model, Adapter: call.Adapter, Prompt: Prompt(call.Payload), MaxTokens: call.MaxTokens,
			Stream: true, Priority: call.Priority, Resume: call.Payload.Tokens,
		})
	case document.Service:
		return call.Path, call.Payload.Body
	}
	invariant.Check(false, "a pool has a known kind", "kind %q", call.Kind)
	return "", nil
}

func marshal(value any) []byte {
	encoded, err := json.Marshal(value)
	invariant.Check(err == nil, "a call can be encoded", "body %T: %v", value, err)
	return encoded
}

// Prompt returns the prompt for an engine. The passages come first, because a prefix that requests have in common
// can be served from the engine's cache.
func Prompt(payload Payload) string {
	text := strings.Builder{}
	for _, passage := range payload.Passages {
		text.WriteString(passage.Text)
		text.WriteByte('\n')
	}
	text.WriteString(payload.Query)
	return text.String()
}

// decode decodes an answer into the payload for the next stage. cause is empty, or states why the answer is invalid.
func decode(call *Call, body []byte) (payload Payload, cause string) {
	payload = call.Payload
	switch call.Kind {
	case document.Encoder:
		reply := EmbeddingReply{}
		if json.Unmarshal(body, &reply) != nil || len(reply.Embedding) == 0 {
			return payload, "answer contains no embedding"
		}
		payload.Vector = reply.Embedding
	case document.Retriever, document.Reranker:
		reply := SearchReply{}
		if json.Unmarshal(body, &reply) != nil || reply.Documents == nil {
			return payload, "answer contains no documents"
		}
		if int64(len(reply.Documents)) > call.Candidates {
			return payload, fmt.Sprintf("answer contains %d documents, at most %d were requested", len(reply.Documents), call.Candidates)
		}
		payload.Passages = reply.Documents
	case document.Service:
		payload.Body = json.RawMessage(body)
	case document.Engine:
	}
	return payload, ""
}

const (
	// maxLineBytes limits the length of one line of a stream, and maxStreamBytes that of a stream.
	maxLineBytes   = 256 << 10
	maxStreamBytes = 16 << 20
)

// readStream reads the tokens that an engine streams. They must continue the tokens in the call's payload: a token
// that is repeated is skipped, and a gap makes the answer invalid.
func (cl *Client) readStream(ctx context.Context, call *Call, response *http.Response) Outcome {
	payload := call.Payload
	payload.Tokens = append([]string{}, call.Payload.Tokens...)
	scanner := bufio.NewScanner(readlimit.NewReader(response.Body, maxStreamBytes))
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if data == StreamEnd {
			return newReplied(response, payload)
		}
		if cause := appendToken(call, &payload, data); cause != "" {
			return Garbage{Cause: cause}
		}
	}
	err := scanner.Err()
	if err == nil {
		err = fmt.Errorf("stream ended after %d tokens without %q", len(payload.Tokens), StreamEnd)
	}
	return cl.transportFailure(ctx, call, err, payload.Tokens)
}

// appendToken appends one streamed token to the payload. It returns why the token is invalid, or "" if it is valid.
func appendToken(call *Call, payload *Payload, data string) string {
	chunk := CompletionChunk{}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return "token is not valid JSON: " + err.Error()
	}
	expected := len(payload.Tokens)
	if chunk.Index < expected {
		return ""
	}
	if chunk.Index > expected {
		return fmt.Sprintf("token has index %d, expected %d", chunk.Index, expected)
	}
	if int64(expected) >= call.MaxTokens {
		return fmt.Sprintf("more than the requested %d tokens", call.MaxTokens)
	}
	payload.Tokens = append(payload.Tokens, chunk.Text)
	if call.OnToken != nil {
		call.OnToken(chunk.Index, chunk.Text)
	}
	return ""
}
