package instance_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// keptConnection is a caller's connection over which several requests are sent.
type keptConnection struct {
	net.Conn
	reader *bufio.Reader
}

// post sends a request over the connection and returns the head of its answer, after reading the whole body.
func (kc *keptConnection) post(t *testing.T) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://entry/v1/pipelines/draft-commission", strings.NewReader(`{"Rank":"Urgent","Input":"a dial"}`))
	must.NoError(t, err)
	request.Header.Set("Authorization", "Bearer kumasi-guild-key")
	must.NoError(t, request.Write(kc))
	response, err := http.ReadResponse(kc.reader, request)
	must.NoError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	must.NoError(t, err)
	return response
}

// TestRequestOnKeptConnectionIsCutOffByStop guards against an instance that closes unused connections while its balancer
// may still send requests over them.
func TestRequestOnKeptConnectionIsCutOffByStop(t *testing.T) {
	longNotice := func(cl *cluster) { cl.noticeMs = 2000 }
	withCluster(t, 1, longNotice, func(cl *cluster) {
		dialed, err := net.Dial("tcp", cl.members[0].settings.GetInstance().GetCallerAddress())
		must.NoError(t, err)
		defer dialed.Close()
		kept := &keptConnection{Conn: dialed, reader: bufio.NewReader(dialed)}
		before := kept.post(t)
		must.Eq(t, http.StatusOK, before.StatusCode)
		must.False(t, before.Close)
		cl.members[0].stop()
		cl.eventually("the instance is not ready", func() bool { return len(cl.ready()) == 0 })
		during := kept.post(t)
		must.Eq(t, http.StatusOK, during.StatusCode)
		must.True(t, during.Close)
	})
}

// TestLateRequestIsCutOffByStop guards against an instance that ends while a request is on its way whose body took longer than the notice.
func TestLateRequestIsCutOffByStop(t *testing.T) {
	notice := func(cl *cluster) { cl.noticeMs = 300 }
	withCluster(t, 1, notice, func(cl *cluster) {
		dialed, err := net.Dial("tcp", cl.members[0].settings.GetInstance().GetCallerAddress())
		must.NoError(t, err)
		defer dialed.Close()
		body := `{"Rank":"Urgent","Input":"a dial"}`
		_, err = fmt.Fprintf(dialed, "POST /v1/pipelines/draft-commission HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer kumasi-guild-key\r\nContent-Length: %d\r\n\r\n%s",
			len(body), body[:1])
		must.NoError(t, err)
		cl.members[0].stop()
		time.Sleep(time.Second)
		_, err = io.WriteString(dialed, body[1:])
		must.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(dialed), nil)
		must.NoError(t, err)
		defer response.Body.Close()
		must.Eq(t, http.StatusOK, response.StatusCode)
		_, err = io.Copy(io.Discard, response.Body)
		must.NoError(t, err)
	})
}
