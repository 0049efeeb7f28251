package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// request is a request of a caller.
type request struct {
	method, path string
	body         []byte
	deadline     time.Duration
	key          int // -1 for none
}

// outcome is the end of an attempt.
type outcome struct {
	attempt string
	method  string
	host    *host
	status  int  // 0 if the connection ended without an answer
	timeout bool // the caller gave up at its deadline
	kept    bool // the connection had carried an answer before
	at      time.Time
}

// callers sends requests over kept connections, each caller to one ready host at a time.
type callers struct {
	d        *deployment
	mu       sync.Mutex
	outcomes []outcome
	ready    map[*host]bool
	stopped  chan struct{}
	running  sync.WaitGroup
	nextID   int
}

func newCallers(d *deployment) *callers {
	c := &callers{d: d, ready: map[*host]bool{}, stopped: make(chan struct{})}
	for _, h := range d.hosts {
		c.ready[h] = true
		go c.watch(h)
	}
	return c
}

// watch asks the readiness check once a second, as the load balancer does. Two misses take
// the host out.
func (c *callers) watch(h *host) {
	misses := 0
	for {
		if h.isReady() {
			misses = 0
		} else {
			misses++
		}
		c.mu.Lock()
		c.ready[h] = misses < 2
		c.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (c *callers) pick(r *rand.Rand) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*host
	for _, h := range c.d.hosts {
		if c.ready[h] {
			list = append(list, h)
		}
	}
	if len(list) == 0 {
		list = c.d.hosts
	}
	return list[r.IntN(len(list))]
}

// start starts a caller that sends what next returns, with pauses of about pause.
func (c *callers) start(seed uint64, pause time.Duration, next func(*rand.Rand) request) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		r := rand.New(rand.NewPCG(seed, 1))
		var conn net.Conn
		var reader *bufio.Reader
		var h *host
		for used := 0; ; used++ {
			select {
			case <-c.stopped:
				if conn != nil {
					_ = conn.Close()
				}
				return
			case <-time.After(time.Duration(float64(pause) * (0.5 + r.Float64()))):
			}
			if conn == nil || used > 20 {
				if conn != nil {
					_ = conn.Close()
				}
				h, used = c.pick(r), 0
				var err error
				if conn, err = net.DialTimeout("tcp", h.listen, time.Second); err != nil {
					conn = nil
					continue
				}
				reader = bufio.NewReader(conn)
			}
			if !c.send(h, conn, reader, used > 0, next(r)) {
				_ = conn.Close()
				conn = nil
			}
		}
	}()
}

// send sends one attempt and records its outcome. It returns false if the connection has
// ended.
func (c *callers) send(h *host, conn net.Conn, reader *bufio.Reader, kept bool, q request) bool {
	c.mu.Lock()
	c.nextID++
	attempt := fmt.Sprintf("%016x", c.nextID)
	c.mu.Unlock()
	c.d.sentTo.Store(attempt, h)
	_ = conn.SetDeadline(time.Now().Add(q.deadline + 500*time.Millisecond))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, hostName, attempt, q.deadline.Milliseconds())
	if len(q.body) > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if q.key >= 0 {
		head += fmt.Sprintf("Shard-Key: %d\r\n", q.key)
	}
	c.d.record.log("caller: sends %s %s %s to %s, body %d", attempt, q.method, q.path, h.name, len(q.body))
	o := outcome{attempt: attempt, method: q.method, host: h, kept: kept}
	_, err := io.WriteString(conn, head+"\r\n")
	if err == nil && len(q.body) > 0 {
		err = writePaced(conn, &h.uploads, q.body)
	}
	var answer *http.Response
	if err == nil {
		if answer, err = http.ReadResponse(reader, &http.Request{Method: q.method}); err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
		}
	}
	o.at = time.Now()
	open := false
	if err == nil {
		o.status = answer.StatusCode
		open = !answer.Close
		c.d.record.log("caller: %s answered %d by %s", attempt, o.status, h.name)
	} else {
		var netErr net.Error
		o.timeout = errors.As(err, &netErr) && netErr.Timeout()
		c.d.record.log("caller: %s ended without an answer of %s: %v", attempt, h.name, err)
	}
	c.mu.Lock()
	c.outcomes = append(c.outcomes, o)
	c.mu.Unlock()
	return open
}

func (c *callers) stop() []outcome {
	close(c.stopped)
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcomes
}

// writePaced writes a body. All bodies to a host together use no more than its link.
func writePaced(w io.Writer, l *link, body []byte) error {
	const piece = 256 << 10
	for len(body) > 0 {
		part := body[:min(piece, len(body))]
		l.await(len(part))
		if _, err := w.Write(part); err != nil {
			return err
		}
		body = body[len(part):]
	}
	return nil
}
