package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// fault is the way in which an upstream answers a request; whole and whole answers that resume are none.
type fault int

const (
	whole fault = iota
	// The chunked answer ends without its last chunk: by reset, by a regular close, inside a chunk.
	cutReset
	cutClose
	cutInChunk
	// The answer is shorter than its length.
	cutLength
	// The answer without length or chunks ends by a reset, or inside an event by a regular close.
	bareReset
	bareClose
	// The request is answered with an error after an earlier send of it.
	error500
	error502
	error404
	error409
	error204
	error503
	errorNotRun
	// The answer of a resumed stream is empty, begins with the first event, or has no signature.
	emptyAnswer
	startAgain
	unsigned
	// The answer has no end.
	endless
	// The head breaks off at any byte: by a regular close or a reset.
	cutHead
	// The status is none.
	oddStatus
	faultCount
)

var faultNames = [faultCount]string{
	"whole", "cutReset", "cutClose", "cutInChunk", "cutLength", "bareReset", "bareClose", "error500", "error502", "error404",
	"error409", "error204", "error503", "errorNotRun", "emptyAnswer", "startAgain", "unsigned", "endless", "cutHead", "oddStatus",
}

// String returns the fault's name.
func (ft fault) String() string { return faultNames[ft] }

var errorStatuses = map[fault]int{
	error500: 500, error502: 502, error404: 404, error409: 409, error204: 204, error503: 503, errorNotRun: 503,
}

const (
	// One of so many answers to requests is without end, in every tenth seed one of manyEndlessShare.
	endlessShare     = 150
	manyEndlessShare = 15
	// endlessOwnShare is the one for the calls of the upstream's own interface.
	endlessOwnShare = 100
	// endlessReportShare is the one for reports, which an instance asks for after a call without memory for results, one of
	// noRoomShare.
	endlessReportShare = 5
	noRoomShare        = 30
	// cutHeadShare is the share of the chunked answers that break off of which already the head does: one of so many.
	cutHeadShare = 3
	// cutPercent is the share of answers that break off; an error follows in errorPercent of the sends after the first.
	cutPercent   = 12
	errorPercent = 50
)

// pickFault returns the fault of an answer: a cut at any send, an error only after an earlier send. A regular close inside
// an event is played on streams only, whose format shows that the event isn't complete.
func pickFault(random *rand.Rand, share, number int, streaming, resumed bool) fault {
	if random.IntN(share) == 0 {
		return endless
	}
	if number > 1 && random.IntN(100) < errorPercent {
		list := []fault{error500, error502, error404, error409, error204, error503, errorNotRun, unsigned}
		if resumed {
			list = append(list, emptyAnswer, startAgain)
		}
		return list[random.IntN(len(list))]
	}
	if random.IntN(100) >= cutPercent {
		return whole
	}
	list := []fault{cutReset, cutClose, cutInChunk, cutLength, bareReset}
	if streaming {
		list = append(list, bareClose)
	}
	return list[random.IntN(len(list))]
}

// response is an upstream's answer to a request.
type response struct {
	id       string
	seal     string
	events   []string
	random   *rand.Rand
	deadline time.Duration
	// notices are the headers with what the upstream says of itself.
	notices http.Header
}

// respond writes an answer with a fault.
func (us *upstream) respond(writer http.ResponseWriter, ft fault, answer response) {
	if status, is := errorStatuses[ft]; is {
		writeError(writer, ft, status, answer)
		return
	}
	switch ft {
	case whole, startAgain:
		writeWhole(writer, answer)
	case emptyAnswer:
		answer.events = nil
		writeWhole(writer, answer)
	case unsigned:
		answer.seal = ""
		writeWhole(writer, answer)
	case cutHead:
		writeCutHead(writer, answer)
	case oddStatus:
		writeOddStatus(writer, answer)
	case endless:
		us.ledger.writeEndless(writer, answer.random, answer.id, answer.deadline, answer.head(), strings.Join(answer.events, ""))
	default:
		writeCut(writer, ft, answer)
	}
}

func writeError(writer http.ResponseWriter, ft fault, status int, answer response) {
	writer.Header().Set("Turmericdoor-Attempt-Id", answer.id)
	writer.Header().Set("Turmericdoor-Response-Seal", answer.seal)
	writer.Header().Set(errorHeader, "1")
	if ft == errorNotRun {
		writer.Header().Set("Turmericdoor-Not-Executed", "1")
	}
	writer.WriteHeader(status)
	_, _ = fmt.Fprintf(writer, "error of %s\n", answer.id)
}

func writeWhole(writer http.ResponseWriter, answer response) {
	writer.Header().Set("Turmericdoor-Attempt-Id", answer.id)
	if answer.seal != "" {
		writer.Header().Set("Turmericdoor-Response-Seal", answer.seal)
	}
	for _, event := range answer.events {
		_, _ = writer.Write([]byte(event))
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(eventGap)
	}
}

// head returns the status line and the headers without those of the framing.
func (an response) head() string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTurmericdoor-Attempt-Id: %s\r\nTurmericdoor-Response-Seal: %s\r\n",
		an.id, an.seal)
	for _, name := range []string{limitHeader, leavingHeader, bornHeader} {
		if value := an.notices.Get(name); value != "" {
			head += fmt.Sprintf("%s: %s\r\n", name, value)
		}
	}
	return head
}

// cutPosition returns where the body breaks off: anywhere, but inside an event if the end alone would look regular.
func (an response) cutPosition(ft fault, size int) int {
	if size == 0 {
		return 0
	}
	position := an.random.IntN(size + 1)
	if (ft == bareClose || ft == cutInChunk) && position%len(an.events[0]) == 0 {
		return max(position-1, 1)
	}
	return position
}

// writeCut writes an answer that breaks off.
func writeCut(writer http.ResponseWriter, ft fault, answer response) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	size := len(strings.Join(answer.events, ""))
	if size == 0 && ft == bareClose {
		// An empty answer that ends by a close is complete.
		ft = bareReset
	}
	framing := "Transfer-Encoding: chunked\r\n"
	switch ft {
	case cutLength:
		framing = fmt.Sprintf("Content-Length: %d\r\n", size+1)
	case bareReset, bareClose:
		framing = "Connection: close\r\n"
	}
	_, _ = conn.Write([]byte(answer.head() + framing + "\r\n"))
	writeEvents(conn, ft, answer.events, answer.cutPosition(ft, size))
	if ft == cutReset || ft == bareReset {
		resetConnection(conn)
	}
}

// writeCutHead writes an answer whose head breaks off at any byte.
func writeCutHead(writer http.ResponseWriter, answer response) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	framing := []string{"Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n", "Content-Length: 0\r\n"}
	head := answer.head() + framing[answer.random.IntN(len(framing))] + "\r\n"
	_, _ = conn.Write([]byte(head[:answer.random.IntN(len(head))]))
	if answer.random.IntN(3) == 0 {
		resetConnection(conn)
	}
}

// writeEvents writes the first bytes of the events, event by event.
func writeEvents(conn net.Conn, ft fault, events []string, left int) {
	for _, event := range events {
		part := event[:min(left, len(event))]
		left -= len(part)
		if len(part) == 0 {
			return
		}
		switch {
		case ft == cutInChunk && len(part) < len(event):
			part = fmt.Sprintf("%x\r\n%s", len(event), part)
		case ft == cutInChunk || ft == cutReset || ft == cutClose:
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		_, _ = conn.Write([]byte(part))
		time.Sleep(eventGap)
	}
}
