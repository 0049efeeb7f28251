package ingress

import (
	"io"
	"net/http"
	"strconv"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// IsHopByHop says whether a canonical header name concerns one connection only.
// Content-Length is among them, because messages are framed anew.
func IsHopByHop(name string) bool { return hopByHop[name] }

// AppendHeader appends the end-to-end headers that keep accepts.
func AppendHeader(b []byte, h http.Header, keep func(name string) bool) []byte {
	for name, values := range h {
		if hopByHop[name] || keep != nil && !keep(name) {
			continue
		}
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

// writeResponse writes a response with its length; last closes the connection.
func writeResponse(w io.Writer, s *slot, last bool) error {
	a := s.answer
	b := make([]byte, 0, 512+len(a.Body))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(a.Status)...)
	b = append(b, "\r\n"...)
	b = AppendHeader(b, a.Header, nil)
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(a.Body)), 10)
		b = append(b, "\r\n"...)
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	if s.request.Method != http.MethodHead {
		b = append(b, a.Body...)
	}
	_, err := w.Write(b)
	return err
}
