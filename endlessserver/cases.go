package endlessserver

import (
	"fmt"
	"strings"
	"time"
)

// Case is an answer without end and the number of its bytes that a peer may read.
type Case struct {
	Answer Answer
	Limit  int64
}

const (
	// Drip is the pause between two bytes of an answer that arrives slowly.
	Drip = 50 * time.Millisecond
	// chunkSize is the size of one chunk of a body, in bytes.
	chunkSize = 4096
)

// Heads returns heads without end of HTTP/1.1 responses, which begin with head if they begin like a response.
func Heads(head string, limit int64) map[string]Case {
	return map[string]Case{
		"a status line":           {Answer{Head: "HTTP/1.1 200 ", Repeated: "x"}, limit},
		"no answer":               {Answer{Repeated: "x"}, limit},
		"header lines":            {Answer{Head: head, Repeated: "X-A: b\r\n"}, limit},
		"a header line":           {Answer{Head: head + "X-A: ", Repeated: "b"}, limit},
		"interim responses":       {Answer{Repeated: "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"}, limit},
		"empty lines":             {Answer{Repeated: "\r\n"}, limit},
		"a head that drips":       {Answer{Head: head + "X-A: ", Repeated: "b", Every: Drip}, limit},
		"bytes before a request":  {Answer{Repeated: "x", AtOnce: true}, limit},
		"a response never begins": {Answer{}, limit},
	}
}

// Bodies returns bodies without end of HTTP/1.1 responses. Of the framing of chunks, a peer may read headLimit bytes.
func Bodies(head string, limit, headLimit int64) map[string]Case {
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkSize, strings.Repeat("x", chunkSize))
	return map[string]Case{
		"a body without length":  {Answer{Head: head + "\r\n", Repeated: "x"}, limit},
		"a body of huge length":  {Answer{Head: head + "Content-Length: 99999999999\r\n\r\n", Repeated: "x"}, limit},
		"chunks":                 {Answer{Head: chunked, Repeated: chunk}, limit},
		"a chunk of huge length": {Answer{Head: chunked + "fffffffffff\r\n", Repeated: "x"}, limit},
		"a chunk size":           {Answer{Head: chunked, Repeated: "0"}, headLimit},
		"trailers":               {Answer{Head: chunked + "0\r\n", Repeated: "X-A: b\r\n"}, headLimit},
		"a body that drips":      {Answer{Head: head + "\r\n", Repeated: "x", Every: Drip}, limit},
	}
}
