// Package finding collects problems together with the place where each was
// found, so that a user sees all of them at once.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one problem at one place: a flag, a variable, or a path inside a
// resource such as "Server/almacen-1: spec.slots".
type Finding struct {
	Place   string `json:"place"`
	Problem string `json:"problem"`
}

// String returns place and problem on one line.
func (f Finding) String() string {
	return f.Place + ": " + f.Problem
}

// List is a set of findings in the order of discovery. A non-empty list is an error.
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
