package control

import (
	"sync/atomic"

	"parsleyrelay.example/core/ownership"
)

// Views holds the current view for the request path.
type Views struct {
	current atomic.Pointer[published]
}

type published struct {
	view     *ownership.View
	replaced chan struct{}
}

// NewViews returns a holder with an empty view.
func NewViews() *Views {
	v := &Views{}
	v.current.Store(&published{view: &ownership.View{}, replaced: make(chan struct{})})
	return v
}

// Current returns the view and a channel that is closed when it is replaced.
func (v *Views) Current() (*ownership.View, <-chan struct{}) {
	p := v.current.Load()
	return p.view, p.replaced
}

func (v *Views) publish(view *ownership.View) {
	old := v.current.Swap(&published{view: view, replaced: make(chan struct{})})
	close(old.replaced)
}
