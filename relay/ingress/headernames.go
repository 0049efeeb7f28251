package ingress

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
)

// HeaderNameError reports a request with a blank between the name of a header and its colon.
type HeaderNameError struct{ Name string }

// Error implements error.
func (e *HeaderNameError) Error() string {
	return fmt.Sprintf("header name %.32q ends with a blank", e.Name)
}

// readHead reads the head of a request. http.ReadRequest takes a name that ends with a blank for
// another header, while a server may ignore the blank and read other bytes as the body. RFC 9112,
// section 5.1, has such requests refused.
func readHead(r *bufio.Reader) (*http.Request, error) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return nil, err
	}
	for name := range request.Header {
		if strings.HasSuffix(name, " ") {
			return nil, &HeaderNameError{Name: name}
		}
	}
	return request, nil
}
