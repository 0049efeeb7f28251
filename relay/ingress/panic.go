package ingress

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"runtime"
	"strings"
)

// panicRetryAfter is the Retry-After, in seconds, of requests that are refused after a panic.
const panicRetryAfter = "0.500"

// maxStackFrames limits the calls that a Panic lists.
const maxStackFrames = 12

// Panic describes a panic of the Handler. The request is answered with status 503 if the
// Handler has set Request.NotRun, else with 502, since it may have run. Its connection closes
// when its other requests are answered.
type Panic struct {
	Caller  string // address
	Request *http.Request
	Value   any
	// Stack lists the innermost calls first, each as function, file and line.
	Stack string
}

// handle runs the handler for a request and sets its response, also if it panics.
func (c *conn) handle(ctx context.Context, p *pipelinedRequest, b *requestBody) {
	defer close(p.done)
	defer func() {
		if value := recover(); value != nil {
			p.response = &Response{Status: http.StatusBadGateway}
			if p.handled != nil && p.handled.NotRun {
				p.response = &Response{Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {panicRetryAfter}}}
			}
			c.requestClose()
			c.reportPanic(Panic{Request: p.request, Value: value, Stack: formatStack()})
		}
	}()
	c.runHandler(ctx, p, b)
}

func (c *conn) reportPanic(p Panic) {
	if c.server.OnPanic != nil {
		p.Caller = c.RemoteAddr().String()
		c.server.OnPanic(p)
	}
}

// formatStack returns the stack of the panic that the calling function has recovered.
func formatStack() string {
	pcs := make([]uintptr, 2*maxStackFrames)
	frames := runtime.CallersFrames(pcs[:runtime.Callers(0, pcs)])
	var calls []string
	for more, panicked := true, false; more && len(calls) < maxStackFrames; {
		var f runtime.Frame
		f, more = frames.Next()
		switch {
		case f.Function == "runtime.gopanic":
			panicked = true
			calls = nil
		case panicked && !strings.HasPrefix(f.Function, "runtime."):
			calls = append(calls, fmt.Sprintf("%s %s:%d", filepath.Base(f.Function), filepath.Base(f.File), f.Line))
		}
	}
	return strings.Join(calls, " < ")
}
