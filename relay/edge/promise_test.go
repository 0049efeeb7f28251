package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/relay/ingress"
	"parsleyrelay.example/relay/upstream"
)

// serverAnswer is what a server does with a request.
type serverAnswer struct {
	name      string
	status    int
	statesNot bool // the response states that the server did not run the request
	signed    bool
	serverID  string // server that the response names; "" for none
	requestID string // request that the response names; "" for the one that was sent
	broken    string // in place of a whole response: the bytes before the end of the connection
	closes    bool   // the connection ends with broken
}

func (a serverAnswer) text(r *http.Request) string {
	if a.closes {
		return a.broken
	}
	id := a.requestID
	if id == "" {
		id = r.Header.Get(testHeaders.RequestID)
	}
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Load: 1,0,2\r\n", a.status, id)
	if a.statesNot {
		text += "X-Not-Run: 1\r\n"
	}
	if a.signed {
		text += "X-Signature: s\r\n"
	}
	switch a.serverID {
	case "":
	case target:
		text += "X-Server: " + r.Header.Get(testHeaders.TargetServer) + "\r\n"
	default:
		text += "X-Server: " + a.serverID + "\r\n"
	}
	return text + "Content-Length: 2\r\n\r\nok"
}

// answersWith returns whole responses with each of the statuses, signed and unsigned.
func answersWith(statesNot bool, serverID string, statuses ...int) []serverAnswer {
	var list []serverAnswer
	for _, status := range statuses {
		for _, signed := range []bool{false, true} {
			list = append(list, serverAnswer{name: fmt.Sprintf("%d stated=%t signed=%t server=%s", status, statesNot, signed, serverID),
				status: status, statesNot: statesNot, signed: signed, serverID: serverID})
		}
	}
	return list
}

// expected is what the caller gets: a status of the host's own, without a body and a
// signature, or the answer of a server unchanged.
type expected struct {
	ownStatus int  // 0 for a server's answer
	earlier   bool // the answer is the earlier one
}

var (
	serversAnswer = expected{}
	earlierAnswer = expected{earlier: true}
	notRun        = expected{ownStatus: http.StatusServiceUnavailable}
	unknown       = expected{ownStatus: http.StatusBadGateway}
)

// promiseRow gives the responses that callers get for the answers of servers. An order is a
// request that may run only once. An order that a server may have run gets no further
// attempt, so that no answer follows (see the cases).
type promiseRow struct {
	reason     string
	answers    []serverAnswer
	order      expected // without an earlier attempt, or after refused ones
	idempotent expected // the same
	afterLost  expected // of an idempotent request of which an earlier attempt may have run
}

// Values of serverAnswer.serverID: the server to which the request was sent, and one to
// which none is sent.
const target, otherServer = "target", "s9"

var promiseRows = []promiseRow{
	{"a success is passed on if it is signed, whatever else it states", slices.Concat(signed(answersWith(false, "", 200)), signed(answersWith(true, "", 200))),
		serversAnswer, serversAnswer, serversAnswer},
	{"a success without signature is not passed on, and its server may have run the request", slices.Concat(unsigned(answersWith(false, "", 200)), unsigned(answersWith(true, "", 200))),
		unknown, unknown, unknown},
	{"a failure that states it shows that this server did not run the request", answersWith(true, "", 302, 400, 404, 408, 409, 421, 429, 500, 502, 503, 504), notRun, notRun, unknown},
	{"so does status 421 of a server that was not the one meant", answersWith(false, otherServer, 421), notRun, notRun, unknown},
	{"so does status 421 with the statement, whoever gives it", slices.Concat(answersWith(true, otherServer, 421), answersWith(true, target, 421)), notRun, notRun, unknown},
	{"no other failure shows it; one that promises nothing is the server's own answer", answersWith(false, "", 302, 400, 404, 409, 500, 502, 504), serversAnswer, serversAnswer, serversAnswer},
	{"no other failure shows it; one that promises it must not reach the caller of an order", answersWith(false, "", 408, 421, 429, 503), unknown, serversAnswer, serversAnswer},
	{"the name of the server that was meant shows nothing", answersWith(false, target, 408, 421, 429, 503), unknown, serversAnswer, serversAnswer},
	{"only with status 421 does the name of another server show that it did not run", answersWith(false, otherServer, 408, 429, 503), unknown, serversAnswer, serversAnswer},
	{"a request that was sent and not answered may have run", []serverAnswer{
		{name: "closed before a byte", closes: true},
		{name: "closed within the head", closes: true, broken: "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Id: a1\r\n"},
		{name: "closed within the body", closes: true, broken: "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Id: a1\r\nContent-Length: 2\r\n\r\no"},
		{name: "no response", closes: true, broken: "random bytes\r\n\r\n"},
		{name: "response of another request", requestID: "b7", status: 503, statesNot: true},
		{name: "success of another request", requestID: "b7", status: 200, signed: true},
		{name: "status 101", status: 101, signed: true},
		{name: "status 600", status: 600, signed: true},
		{name: "status 999 that states it", status: 999, statesNot: true},
	}, unknown, unknown, unknown},
}

func signed(list []serverAnswer) []serverAnswer {
	return slices.DeleteFunc(list, func(a serverAnswer) bool { return !a.signed })
}

func unsigned(list []serverAnswer) []serverAnswer {
	return slices.DeleteFunc(list, func(a serverAnswer) bool { return a.signed })
}

// Guards against an order that runs twice because its caller was told that it has not run:
// a status that promises this though no server stated it, or though an earlier attempt may
// have run; against an answer of a server that is replaced though it promises nothing; and
// against a signature beside another status than the server's.
func TestStatusesPromiseOnlyWhatServersState(t *testing.T) {
	refusal := serverAnswer{name: "refused", status: 503, statesNot: true}
	lost := serverAnswer{name: "not answered", closes: true}
	failed := serverAnswer{name: "failed", status: 500, signed: true}
	for _, row := range promiseRows {
		afterFailure := row.afterLost
		if afterFailure == unknown {
			afterFailure = earlierAnswer // a server's own answer comes before one of the host's
		}
		for _, answer := range row.answers {
			for _, keyed := range []bool{false, true} {
				name := fmt.Sprintf("%s/%s keyed=%t", row.reason, answer.name, keyed)
				for _, c := range []promiseCase{
					{"order, first attempt", "/once/x", nil, row.order},
					{"order, after a refusal", "/once/x", &refusal, row.order},
					{"order, after no answer", "/once/x", &lost, unknown},
					{"idempotent, first attempt", "/safe/x", nil, row.idempotent},
					{"idempotent, after a refusal", "/safe/x", &refusal, row.idempotent},
					{"idempotent, after no answer", "/safe/x", &lost, row.afterLost},
					{"idempotent, after a failure", "/safe/x", &failed, afterFailure},
					{"order, after a failure", "/once/x", &failed, earlierAnswer},
				} {
					t.Run(name+" "+c.name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { checkPromise(t, c, answer, keyed) })
					})
				}
			}
		}
	}
}

// promiseCase is a request and the answers to its attempts: earlier to the first one if it
// is set, the answer of the row to all others.
type promiseCase struct {
	name, path string
	earlier    *serverAnswer
	want       expected
}

func checkPromise(t *testing.T, c promiseCase, answer serverAnswer, keyed bool) {
	var attempts, mayHaveRun atomic.Int32
	next := func() serverAnswer {
		a := answer
		if attempts.Add(1) == 1 && c.earlier != nil {
			a = *c.earlier
		}
		if a.requestID != "" || a.closes || a.status < 300 || !a.statesNot && (a.status != 421 || a.serverID != otherServer) {
			mayHaveRun.Add(1)
		}
		return a
	}
	got := sendOverPipes(t, c.path, keyed, next)
	if c.want == earlierAnswer {
		answer = *c.earlier
	}
	if c.want.ownStatus == 0 {
		require.Equal(t, answer.status, got.Status)
		require.Equal(t, "ok", string(got.Body))
		require.Equal(t, answer.signed, got.Header.Get(testHeaders.Signature) != "")
	} else {
		require.Equal(t, c.want.ownStatus, got.Status)
		require.Empty(t, got.Body)
		require.Empty(t, got.Header.Get(testHeaders.Signature))
	}
	if c.path == "/once/x" {
		require.LessOrEqual(t, mayHaveRun.Load(), int32(1), "the order may have run twice")
	}
	if c.path == "/once/x" && mayHaveRun.Load() > 0 {
		require.NotContains(t, []int{408, 421, 429, 503}, got.Status, "the order may have run")
	}
}

// sendOverPipes returns the response for the caller of a request, each attempt of which gets
// the next answer.
func sendOverPipes(t *testing.T, path string, keyed bool, next func() serverAnswer) *ingress.Response {
	client := upstream.NewClientWithDial(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		go answerOnConn(far, next)
		return near, nil
	})
	servers := []*scriptedServer{{id: "s1", address: "s1:1"}}
	if !keyed {
		servers = append(servers, &scriptedServer{id: "s2", address: "s2:1"})
	}
	e := newEdgeWithClient(t, io.Discard, client, servers...)
	if keyed {
		setKeyed(e, servers...)
	}
	return sendRequest(e, context.Background(), path)
}

func answerOnConn(c net.Conn, next func() serverAnswer) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		a := next()
		if _, err := io.WriteString(c, a.text(r)); err != nil || a.closes || a.requestID != "" {
			return
		}
	}
}
