package responsecheck

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// invalidHeads are heads that net/http takes, or took, for valid ones.
var invalidHeads = map[string]string{
	"blank in a name":              "HTTP/1.1 200 OK\r\nX-Tr ace: 1\r\n",
	"blank behind a name":          "HTTP/1.1 200 OK\r\nX-Trace : 1\r\n",
	"blank before a name":          "HTTP/1.1 200 OK\r\nX: a\r\n X-Trace: 1\r\n",
	"blanks before and in a name":  "HTTP/1.1 200 OK\r\nX: a\r\n\t X-Tr ace : 1\r\n",
	"many blanks before a name":    "HTTP/1.1 200 OK\r\nX: a\r\n" + strings.Repeat(" ", 100) + "X-Trace: 1\r\n",
	"blank before the first name":  "HTTP/1.1 200 OK\r\n X-Trace: 1\r\n",
	"long name with a blank":       "HTTP/1.1 200 OK\r\n" + strings.Repeat("x", 100) + " : 1\r\n",
	"transfer coding not read":     "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"length not read":              "HTTP/1.1 200 OK\r\nContent -Length: 1\r\n",
	"content coding not read":      "HTTP/1.1 200 OK\r\nContent-Encoding : gzip\r\n",
	"transfer coding in HTTP/1.0":  "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n",
	"interim response":             "HTTP/1.1 103 Early Hints\r\nX-Trace : 1\r\n\r\nHTTP/1.1 200 OK\r\n",
	"error response":               "HTTP/1.1 503 X\r\nX-Trace : 1\r\n",
	"line without a colon":         "HTTP/1.1 200 OK\r\nX-Trace\r\n",
	"name without bytes":           "HTTP/1.1 200 OK\r\n: 1\r\n",
	"name beyond ASCII":            "HTTP/1.1 200 OK\r\nX-Tr\xe4ce: 1\r\n",
	"separator in a name":          "HTTP/1.1 200 OK\r\nX(Trace): 1\r\n",
	"carriage return without feed": "HTTP/1.1 200 OK\r\n\rX-Trace: 1\r\n",
	"status of four digits":        "HTTP/1.1 2000 OK\r\n",
	"no status":                    "HTTP/1.1 OK\r\n",
	"no protocol":                  "200 OK\r\n",
	"long status line":             "HTTP/1.1 " + strings.Repeat(" ", 100) + "200 OK\r\n",
}

func init() {
	for _, b := range []byte{0, 1, '\t', 0x0b, 0x1f, 0x7f} {
		invalidHeads[fmt.Sprintf("byte %#x in a name", b)] = "HTTP/1.1 200 OK\r\nX-Tr" + string(rune(b)) + "ace: 1\r\n"
		invalidHeads[fmt.Sprintf("byte %#x behind a name", b)] = "HTTP/1.1 200 OK\r\nX-Trace" + string(rune(b)) + ": 1\r\n"
	}
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		invalidHeads["status "+status] = "HTTP/1.1 " + status + " X\r\n"
	}
}

// validHeads are heads of the same kinds that stay responses.
var validHeads = map[string]string{
	"interim responses":          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n",
	"no reason phrase":           "HTTP/1.1 200\r\n",
	"line feeds only":            "HTTP/1.1 200 OK\nX-Trace: 1\n",
	"continued value":            "HTTP/1.1 200 OK\r\nX: a\r\n\tb; c=\"d:e\"\r\n \r\n",
	"colon in a continued value": "HTTP/1.1 200 OK\r\nX: a\r\n : b\r\n",
	"blanks in a value":          "HTTP/1.1 200 OK\r\nX:   a b : c \r\n",
	"all token bytes":            "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n",
	"HTTP/1.0":                   "HTTP/1.0 200 OK\r\nX-Trace: 1\r\n",
}

// startServer returns the address of a server that answers each request with the text that
// the path selects, and the number of requests on connections that have carried one before.
func startServer(t *testing.T, texts map[string]string) (address string, reused *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	reused = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if n > 0 {
						reused.Add(1)
					}
					_, _ = io.WriteString(c, texts[r.URL.Query().Get("text")])
				}
			}()
		}
	}()
	return l.Addr().String(), reused
}

// Guards against heads that callers get although a parser may read other fields or another
// body from them, and against connections that serve further requests after such a head: the
// transport takes one without a body for idle before its caller sees it.
func TestInvalidHeadsAreRejected(t *testing.T) {
	texts := map[string]string{}
	for name, head := range invalidHeads {
		texts[name] = head + "Content-Length: 0\r\n\r\n"
	}
	address, reused := startServer(t, texts)
	client := &http.Client{Transport: Transport{SetDialers(&http.Transport{MaxConnsPerHost: 1})}}
	defer client.CloseIdleConnections()
	for name := range texts {
		t.Run(name, func(t *testing.T) {
			var calls sync.WaitGroup
			for range 8 {
				calls.Go(func() {
					request, _ := http.NewRequest(http.MethodGet, "http://"+address, nil)
					request.URL.RawQuery = "text=" + strings.ReplaceAll(name, " ", "+")
					r, err := client.Do(request)
					if err == nil {
						t.Errorf("taken: %v", r)
						return
					}
					if !IsFault(err) {
						t.Errorf("another error: %v", err)
					}
				})
			}
			calls.Wait()
			require.Zero(t, reused.Swap(0), "a connection served another request after an invalid head")
		})
	}
}

// Guards against a check that refuses heads which every parser reads in the same way.
func TestValidHeadsAreTaken(t *testing.T) {
	texts := map[string]string{}
	for name, head := range validHeads {
		texts[name] = head + "Content-Length: 5\r\n\r\nA : b"
	}
	address, _ := startServer(t, texts)
	client := &http.Client{Transport: Transport{SetDialers(&http.Transport{})}}
	defer client.CloseIdleConnections()
	for name := range texts {
		for range 3 {
			r, err := client.Get("http://" + address + "/?text=" + strings.ReplaceAll(name, " ", "+"))
			require.NoError(t, err, name)
			body, err := io.ReadAll(r.Body)
			require.NoError(t, err, name)
			require.Equal(t, "A : b", string(body), name)
			require.NoError(t, r.Body.Close())
		}
	}
}

// Guards against faults that are missed, or found where there is none, when a head arrives
// in pieces.
func TestHeadsInPieces(t *testing.T) {
	scanInPieces := func(text string, size int) error {
		var s headScanner
		s.expect()
		for len(text) > 0 {
			n := min(size, len(text))
			if _, err := s.scan([]byte(text[:n])); err != nil {
				return err
			}
			text = text[n:]
		}
		if s.state != nothingExpected {
			return io.ErrUnexpectedEOF
		}
		return nil
	}
	for size := 1; size < 40; size++ {
		for name, head := range invalidHeads {
			require.Error(t, scanInPieces(head+"\r\n", size), name)
		}
		for name, head := range validHeads {
			require.NoError(t, scanInPieces(head+"\r\n X : body", size), name)
		}
	}
}
