package faultmatrix

import (
	"fmt"
	"testing"
	"time"
)

func TestSmoke(t *testing.T) {
	w := newWorld(options{seed: 1})
	ok := w.untilServed(20 * time.Second)
	if !ok || testing.Verbose() {
		for _, l := range w.trace {
			fmt.Println(l)
		}
	}
	fmt.Println(ok, w.now, w.orders, w.checker.violations)
	w.until(w.now + 20*time.Second)
	fmt.Println(w.now, w.orders, w.longestGap(), w.checker.violations, len(w.trace))
}
