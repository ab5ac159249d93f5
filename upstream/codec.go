package upstream

import (
	"bufio"
	"bytes"
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

// dataPrefix begins the lines of a stream that carry data.
const dataPrefix = "data: "

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
// that is repeated is skipped, and a gap makes the answer invalid. No token is read from the answer to another call.
func (cl *Client) readStream(ctx context.Context, call *Call, response *http.Response) Outcome {
	if reportedIdentity(response) != call.Identity {
		return newReplied(response, call.Payload)
	}
	payload := call.Payload
	payload.Tokens = append([]string{}, call.Payload.Tokens...)
	scanner := bufio.NewScanner(readlimit.NewReader(response.Body, maxStreamBytes))
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	scanner.Split(splitLines)
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), dataPrefix)
		if !isData {
			continue
		}
		if data == StreamEnd {
			return newReplied(response, payload)
		}
		if cause := appendToken(call, &payload, data); cause != "" {
			return Garbage{Cause: cause, Tokens: payload.Tokens}
		}
	}
	err := scanner.Err()
	if err == nil {
		err = fmt.Errorf("stream ended after %d tokens without %q", len(payload.Tokens), StreamEnd)
	}
	return cl.transportFailure(ctx, call, err, payload.Tokens)
}

// splitLines splits like bufio.ScanLines, but drops a last line without a line feed, which may be cut off, unless it is
// the end marker.
func splitLines(data []byte, atEOF bool) (advance int, line []byte, err error) {
	if atEOF && !bytes.Contains(data, []byte("\n")) && string(data) != dataPrefix+StreamEnd {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

// sentChunk is a CompletionChunk as received, in which missing fields can be told from empty ones.
type sentChunk struct {
	Index *int    `json:"index"`
	Text  *string `json:"text"`
}

// appendToken appends one streamed token to the payload. It returns why the token is invalid, or "" if it is valid.
func appendToken(call *Call, payload *Payload, data string) string {
	chunk := sentChunk{}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return "token is not valid JSON: " + err.Error()
	}
	if chunk.Index == nil || chunk.Text == nil || *chunk.Index < 0 {
		return "token has no index or no text"
	}
	index, text, expected := *chunk.Index, *chunk.Text, len(payload.Tokens)
	if index < expected {
		return checkRepeated(index, text, payload.Tokens[index])
	}
	if index > expected {
		return fmt.Sprintf("token has index %d, expected %d", index, expected)
	}
	if int64(expected) >= call.MaxTokens {
		return fmt.Sprintf("more than the requested %d tokens", call.MaxTokens)
	}
	payload.Tokens = append(payload.Tokens, text)
	if call.OnToken != nil {
		call.OnToken(index, text)
	}
	return ""
}

// checkRepeated returns why a repeated token is invalid, or "" if it is the one that is known.
func checkRepeated(index int, text, known string) string {
	if text == known {
		return ""
	}
	return fmt.Sprintf("token %d is repeated with another text", index)
}
