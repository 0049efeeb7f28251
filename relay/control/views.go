package control

import (
	"sync/atomic"

	"parsleyrelay.example/core/ownership"
)

// Views holds the current view of the ownership machine, for concurrent readers.
type Views struct {
	current atomic.Pointer[publishedView]
}

type publishedView struct {
	view     *ownership.View
	replaced chan struct{}
}

// NewViews returns Views with an empty view.
func NewViews() *Views {
	v := &Views{}
	v.current.Store(&publishedView{view: &ownership.View{}, replaced: make(chan struct{})})
	return v
}

// Current returns the view and a channel that is closed when it is replaced.
func (v *Views) Current() (*ownership.View, <-chan struct{}) {
	p := v.current.Load()
	return p.view, p.replaced
}

func (v *Views) publish(view *ownership.View) {
	old := v.current.Swap(&publishedView{view: view, replaced: make(chan struct{})})
	close(old.replaced)
}
