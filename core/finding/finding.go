// Package finding collects validation errors, each with the location of the bad
// input, so that a user sees all of them at once.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one validation error. Place is the location of the bad input: a flag,
// an environment variable, a request parameter, or a field of a resource such as
// "Server/almacen-1: spec.slots".
type Finding struct {
	Place   string `json:"place"`
	Problem string `json:"problem"`
}

// String returns the finding as "place: problem".
func (f Finding) String() string {
	return f.Place + ": " + f.Problem
}

// List holds findings in the order in which they were added. It implements error;
// use Err to get nil for an empty list.
type List []Finding

// Add appends a finding whose problem is formatted like fmt.Sprintf.
func (l *List) Add(place, format string, args ...any) {
	*l = append(*l, Finding{Place: place, Problem: fmt.Sprintf(format, args...)})
}

// Error returns one line per finding.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
