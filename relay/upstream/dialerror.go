package upstream

import (
	"errors"
	"net"
)

// IsDialError reports whether an exchange ended because no connection could be opened. An
// open connection that the server resets is another error: a server that is full does that.
func IsDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
