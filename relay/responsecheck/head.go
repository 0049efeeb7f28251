// Package responsecheck rejects responses whose head a client cannot use: with a status that
// HTTP does not define, with a field whose name is invalid, or with a framing that parsers
// read in different ways. net/http passes many of them on, and reads their bodies by the
// fields that it recognizes. The check sees the bytes of a head before the parser does, so
// the connection of a rejected response never serves another request.
package responsecheck

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// The reasons of a HeadError.
const (
	InvalidStatusLine = "invalid status line"
	InvalidFieldName  = "invalid field name"
	// CodingInHTTP10 is a Transfer-Encoding in a response of HTTP/1.0, which does not define
	// it (RFC 9112, 6.1). net/http would return the framing of the chunks as a part of the body.
	CodingInHTTP10 = "transfer coding in HTTP/1.0"
)

// HeadError reports a response head that a client must not use.
type HeadError struct {
	Reason string
	Text   string // begin of the status line or of the name
}

// Error implements error.
func (e *HeadError) Error() string {
	return fmt.Sprintf("response head rejected: %s %.32q", e.Reason, e.Text)
}

// maxKeptBytes is the length up to which a status line or the name of a field is kept. The
// status and the names that matter are shorter.
const maxKeptBytes = 32

// scanState is the part of a head to which the next byte belongs.
type scanState int

const (
	nothingExpected scanState = iota // bytes of a body, or none at all
	statusLine                       // up to its end, or to maxKeptBytes
	restOfLine                       // of the status line, or a value
	lineStart
	carriageReturn // at the begin of a line
	fieldName
	continuedLine // a line that begins with a blank, which continues the value before it
)

// headScanner checks the heads of a response, interim ones included, byte by byte.
type headScanner struct {
	state    scanState
	kept     []byte // of the status line or the name
	isFinal  bool   // the present head is not an interim one
	isHTTP10 bool
	noFields bool // no field has followed the status line yet
}

// expect makes the next byte the first one of a response.
func (s *headScanner) expect() { s.state, s.kept = statusLine, s.kept[:0] }

// scan checks the bytes that follow. It returns how many bytes come before a fault.
func (s *headScanner) scan(p []byte) (int, error) {
	for i, b := range p {
		if s.state == nothingExpected {
			break
		}
		if err := s.next(b); err != nil {
			return i, err
		}
	}
	return len(p), nil
}

func (s *headScanner) next(b byte) error {
	switch s.state {
	case statusLine:
		return s.inStatusLine(b)
	case restOfLine:
		if b == '\n' {
			s.state = lineStart
		}
	case lineStart:
		return s.atLineStart(b)
	case carriageReturn:
		if b != '\n' {
			return s.invalidName('\r')
		}
		s.endHead()
	case fieldName:
		return s.inFieldName(b)
	case continuedLine:
		return s.inContinuedLine(b)
	}
	return nil
}

func (s *headScanner) inStatusLine(b byte) error {
	if b != '\n' {
		s.kept = append(s.kept, b)
		if len(s.kept) < maxKeptBytes {
			return nil
		}
	}
	line := bytes.TrimSuffix(s.kept, []byte("\r"))
	protocol, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	major, minor, ok := http.ParseHTTPVersion(string(protocol))
	status := 0
	for _, digit := range code {
		ok = ok && digit >= '0' && digit <= '9'
		status = 10*status + int(digit-'0')
	}
	if !ok || len(code) != 3 {
		return &HeadError{Reason: InvalidStatusLine, Text: string(line)}
	}
	s.isFinal, s.isHTTP10, s.noFields = status >= http.StatusOK, major < 1 || major == 1 && minor == 0, true
	s.state = restOfLine
	if b == '\n' {
		s.state = lineStart
	}
	return checkStatus(status)
}

func (s *headScanner) atLineStart(b byte) error {
	s.kept = s.kept[:0]
	switch {
	case b == '\n':
		s.endHead()
	case b == '\r':
		s.state = carriageReturn
	case (b == ' ' || b == '\t') && !s.noFields:
		s.state = continuedLine
	default:
		s.state, s.noFields = fieldName, false
		return s.inFieldName(b)
	}
	return nil
}

// endHead ends a head. Another one follows an interim one.
func (s *headScanner) endHead() {
	s.expect()
	if s.isFinal {
		s.state = nothingExpected
	}
}

func (s *headScanner) inFieldName(b byte) error {
	if b != ':' {
		if !httpguts.IsTokenRune(rune(b)) {
			return s.invalidName(b)
		}
		s.keep(b)
		return nil
	}
	if len(s.kept) == 0 {
		return s.invalidName(b)
	}
	if s.isHTTP10 && strings.EqualFold(string(s.kept), "Transfer-Encoding") {
		return &HeadError{Reason: CodingInHTTP10, Text: string(s.kept)}
	}
	s.state = restOfLine
	return nil
}

// inContinuedLine rejects a line that reads as a field with a blank in front of its name:
// parsers differ in whether it is one.
func (s *headScanner) inContinuedLine(b byte) error {
	switch {
	case b == '\n':
		s.state = lineStart
	case b == ' ' || b == '\t':
		if len(s.kept) > 0 { // behind the begin of what may be a name
			s.keep(b)
		}
	case httpguts.IsTokenRune(rune(b)):
		s.keep(b)
	case b == ':' && len(s.kept) > 0:
		return s.invalidName(b)
	default:
		s.state = restOfLine
	}
	return nil
}

func (s *headScanner) keep(b byte) {
	if len(s.kept) < maxKeptBytes {
		s.kept = append(s.kept, b)
	}
}

func (s *headScanner) invalidName(b byte) error {
	return &HeadError{Reason: InvalidFieldName, Text: string(append(s.kept, b))}
}
