package home

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/core/admission"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/relay/frontend"
)

// MaxBufferedResponseBytes is the size up to which a response is read completely
// before its first byte is sent to the caller. A slow caller then does not occupy
// the server's slot, and a response that is truncated before this size is
// reported as an error.
const MaxBufferedResponseBytes = 64 << 10

// dispatch sends a request that has got a slot. It looks up the route again,
// since the lease may have ended or the slice may have started to move while the
// request was queued.
func (q *serverQueue) dispatch(ctx context.Context, req *frontend.Request, pending *pendingRequest) (*frontend.Response, *frontend.RequestError) {
	now := q.cfg.Now()
	view, _ := q.cfg.Views.Current()
	route, ok := view.Lookup(req.Service, req.KeyHash, now)
	if !ok || route.Server != q.server || !route.Dispatchable {
		q.finishRequest(pending, admission.Result{Outcome: admission.OutcomeCanceled})
		return nil, frontend.RerouteError()
	}
	call := Call{
		Server: q.server, Spec: route.ServerView.Spec, Request: req,
		Term: route.ServerView.Term, SubTerm: route.ServerView.SubTerm, Generation: route.Slice.Generation,
		Remaining: req.Deadline - now,
	}
	resp, failure := q.cfg.Backend.Do(ctx, call)
	if failure != nil {
		return nil, q.handleFailure(ctx, pending, failure)
	}
	slice := ownership.SliceRef{Range: route.Slice.Range, Generation: route.Slice.Generation}
	return q.receiveResponse(ctx, req, pending, resp, slice, now)
}

// handleFailure frees the request's slot and returns the error for the caller.
func (q *serverQueue) handleFailure(ctx context.Context, pending *pendingRequest, f *Failure) *frontend.RequestError {
	switch f.Kind {
	case FailureNotSent:
		q.finishRequest(pending, admission.Result{Outcome: admission.OutcomeError})
		return frontend.NewRefusal(callerapi.ReasonConnectFailed, time.Second, "no connection to Server/%s: %v", q.server, f.Err)
	case FailureRefused:
		q.finishRequest(pending, admission.Result{Outcome: admission.OutcomeRefused})
		return frontend.NewRefusal(callerapi.ReasonServerRefused, time.Second, "Server/%s refused: %v", q.server, f.Err)
	case FailureOverload:
		q.finishRequest(pending, admission.Result{Outcome: admission.OutcomeOverload})
		return frontend.NewRefusal(callerapi.ReasonServerRefused, time.Second, "Server/%s is overloaded: %v", q.server, f.Err)
	}
	return q.handleUnknownOutcome(ctx, pending, f.Err)
}

// handleUnknownOutcome frees the slot of a request that may have run and returns
// the error for the caller.
func (q *serverQueue) handleUnknownOutcome(ctx context.Context, pending *pendingRequest, err error) *frontend.RequestError {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		q.finishRequest(pending, admission.Result{Outcome: admission.OutcomeTimeout})
		return frontend.NewUnknownOutcome(http.StatusGatewayTimeout, callerapi.ReasonAnswerTimeout, "Server/%s did not answer before the deadline", q.server)
	}
	outcome := admission.OutcomeError
	if ctx.Err() != nil {
		outcome = admission.OutcomeCanceled // the caller disconnected, which is no fault of the server
	}
	q.finishRequest(pending, admission.Result{Outcome: outcome})
	return frontend.NewUnknownOutcome(http.StatusBadGateway, callerapi.ReasonNoAnswer, "the connection to Server/%s was lost: %v", q.server, err)
}

// receiveResponse reads a response of up to MaxBufferedResponseBytes completely
// and frees the slot. A longer one is streamed and occupies its slot until it ends.
func (q *serverQueue) receiveResponse(ctx context.Context, req *frontend.Request, pending *pendingRequest, resp *frontend.Response, slice ownership.SliceRef, sentAt time.Duration) (*frontend.Response, *frontend.RequestError) {
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, MaxBufferedResponseBytes+1))
	if err != nil {
		_ = resp.Body.Close()
		return nil, q.handleUnknownOutcome(ctx, pending, err)
	}
	out := &frontend.Response{
		Status: resp.Status, Header: resp.Header, ContentLength: resp.ContentLength,
		Outcome: callerapi.OutcomeDone, Reason: callerapi.ReasonOK,
	}
	finish := func(outcome admission.Outcome) {
		serviceTime := q.cfg.Now() - sentAt
		q.loads.addRequest(q.cfg.Now(), req, slice, q.server, serviceTime)
		q.finishRequest(pending, admission.Result{Outcome: outcome, ServiceTime: serviceTime})
	}
	if len(prefix) <= MaxBufferedResponseBytes {
		_ = resp.Body.Close()
		finish(outcomeOfStatus(resp.Status))
		out.Body = io.NopCloser(bytes.NewReader(prefix))
		if req.Method != http.MethodHead {
			out.ContentLength = int64(len(prefix))
		}
		return out, nil
	}
	out.Body = &streamedBody{
		Reader: io.MultiReader(bytes.NewReader(prefix), resp.Body), closer: resp.Body,
		onEnd: func(complete bool) {
			if complete {
				finish(outcomeOfStatus(resp.Status))
				return
			}
			finish(admission.OutcomeError)
		},
	}
	return out, nil
}

// outcomeOfStatus reports 5xx responses as errors, which lower the server's
// concurrency limit.
func outcomeOfStatus(status int) admission.Outcome {
	if status >= 500 {
		return admission.OutcomeError
	}
	return admission.OutcomeOK
}

// streamedBody is a response body that calls onEnd once, with whether the body was
// read to its end.
type streamedBody struct {
	io.Reader
	closer   io.Closer
	onEnd    func(complete bool)
	reported bool
}

func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.reportEnd(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer.
func (b *streamedBody) Close() error {
	err := b.closer.Close()
	b.reportEnd(false)
	return err
}

func (b *streamedBody) reportEnd(complete bool) {
	if !b.reported {
		b.reported = true
		b.onEnd(complete)
	}
}
