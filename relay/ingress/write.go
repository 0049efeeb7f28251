package ingress

import (
	"net/http"
	"strconv"
)

// hopByHop lists the headers that apply to a single connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// IsHopByHop reports whether a header, given by its canonical name, applies to a
// single connection. Content-Length counts as such, because it is written anew for
// each message.
func IsHopByHop(name string) bool { return hopByHop[name] }

// AppendHeader appends the end-to-end headers for which include returns true; nil
// includes all. Names must be valid: readHead refuses requests, and package responsecheck
// responses, of which a parser may read other headers.
func AppendHeader(b []byte, h http.Header, include func(name string) bool) []byte {
	for name, values := range h {
		if hopByHop[name] || include != nil && !include(name) {
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

// maxJoinedBody is the length, in bytes, up to which a body is copied behind its head and
// written with it.
const maxJoinedBody = 16 << 10

// encodeResponse returns a response with Content-Length; closing adds "Connection: close".
// A body that is not short is returned apart, without a copy.
func encodeResponse(p *pipelinedRequest, closing bool) (b, furtherBody []byte) {
	response := p.response
	joined := 0
	if len(response.Body) <= maxJoinedBody {
		joined = len(response.Body)
	}
	b = make([]byte, 0, 512+joined)
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(response.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(response.Status)...)
	b = append(b, "\r\n"...)
	b = AppendHeader(b, response.Header, nil)
	if response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(response.Body)), 10)
		b = append(b, "\r\n"...)
	}
	if closing {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	if p.request.Method == http.MethodHead {
		return b, nil
	}
	return append(b, response.Body[:joined]...), response.Body[joined:]
}
