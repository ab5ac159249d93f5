package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// client is one connection of a client.
type client struct {
	connection net.Conn
	reader     *bufio.Reader
}

// answered is what a client got.
type answered struct {
	status int
	seal   string
	body   string
	// closes is set if the connection ends after the answer.
	closes bool
	err    error
}

func (an answered) String() string {
	if an.err != nil {
		return "no answer: " + an.err.Error()
	}
	return fmt.Sprintf("status %d, seal %q, body %q", an.status, an.seal, an.body)
}

var lastID atomic.Int64

// newID returns the id of a client attempt.
func newID() string {
	return fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(lastID.Add(1)))
}

func dial(address string) *client {
	connection, err := dialLocal(address)
	if err != nil {
		return &client{}
	}
	return &client{connection: connection, reader: bufio.NewReader(connection)}
}

// send writes a request head with the given lines, and a body.
func (cl *client) send(method, uri, host, id string, lines []string, body string) error {
	if cl.connection == nil {
		return fmt.Errorf("not connected")
	}
	head := []string{method + " " + uri + " HTTP/1.1", "Host: " + host, "Turmericdoor-Attempt-Id: " + id}
	head = append(head, lines...)
	if body != "" {
		head = append(head, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	_, err := io.WriteString(cl.connection, strings.Join(head, "\r\n")+"\r\n\r\n"+body)
	return err
}

// receive reads an answer, at most for a time.
func (cl *client) receive(method string, within time.Duration) answered {
	if cl.connection == nil {
		return answered{err: fmt.Errorf("not connected")}
	}
	_ = cl.connection.SetReadDeadline(time.Now().Add(within))
	response, err := http.ReadResponse(cl.reader, &http.Request{Method: method})
	if err != nil {
		return answered{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answered{status: response.StatusCode, seal: response.Header.Get("Turmericdoor-Response-Seal"), body: string(body), closes: response.Close, err: err}
}

func (cl *client) close() {
	if cl.connection != nil {
		_ = cl.connection.Close()
	}
}

// ask sends one request on a new connection, and notes it with its answer.
func ask(fr *front, method, uri, host, id string, lines []string, body string) answered {
	cl := dial(fr.address)
	defer cl.close()
	return cl.ask(fr, method, uri, host, id, lines, body)
}

func (cl *client) ask(fr *front, method, uri, host, id string, lines []string, body string) answered {
	note("client sends %s to %s: %s %s, %s", id, fr.name, method, uri, strings.Join(lines, "; "))
	if err := cl.send(method, uri, host, id, lines, body); err != nil {
		return answered{err: err}
	}
	got := cl.receive(method, 8*time.Second)
	note("client gets for %s: %s", id, got)
	return got
}
