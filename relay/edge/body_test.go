package edge

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/relay/ingress"
)

// bodyServer keeps the bodies of its requests. It closes the connection of the first
// request, and answers the others.
type bodyServer struct {
	mu     sync.Mutex
	bodies [][]byte
}

func (s *bodyServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.bodies = append(s.bodies, body)
		first := len(s.bodies) == 1
		s.mu.Unlock()
		if first {
			return
		}
		_, _ = io.WriteString(c, signedResponse(r))
	}
}

// Guards against a second attempt whose body lacks the pieces that the first one has
// written, and against a body that differs from its announced length.
func TestAttemptsShareTheBody(t *testing.T) {
	for name, pieces := range map[string][][]byte{
		"short, one piece":    {bytes.Repeat([]byte("a"), 1200)},
		"short, two pieces":   {bytes.Repeat([]byte("a"), 4096), bytes.Repeat([]byte("b"), 100)},
		"longest joined":      {bytes.Repeat([]byte("a"), maxJoinedBody)},
		"long, one piece":     {bytes.Repeat([]byte("a"), maxJoinedBody+1)},
		"long, several":       {bytes.Repeat([]byte("a"), 256<<10), bytes.Repeat([]byte("b"), 256<<10), []byte("c")},
		"more than one write": bytes.SplitAfter(bytes.Repeat([]byte("0123456789abcde\n"), 3000), []byte("\n")),
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			s := &bodyServer{}
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go s.serve(c)
				}
			}()
			address := l.Addr().String()
			e := newEdge(t, &scriptedServer{id: "s1", address: address}, &scriptedServer{id: "s2", address: address})
			r, err := http.NewRequest(http.MethodPost, "http://h/safe/x", nil)
			require.NoError(t, err)
			r.RequestURI = "/safe/x"
			r.Header.Set("X-Id", "a1")
			response := e.Handle(t.Context(), &ingress.Request{Request: r, Payload: pieces, ReceivedAt: time.Now()})
			require.Equal(t, http.StatusOK, response.Status)
			s.mu.Lock()
			defer s.mu.Unlock()
			require.Len(t, s.bodies, 2)
			for _, body := range s.bodies {
				require.True(t, bytes.Equal(bytes.Join(pieces, nil), body), "%d bytes", len(body))
			}
		})
	}
}
