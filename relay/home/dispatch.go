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

// MaxBufferedResponseBytes is the size up to which a response is read before the first byte
// goes to the caller. It frees the server's slot from slow callers, and a
// response that is cut within it becomes a clean error.
const MaxBufferedResponseBytes = 64 << 10

// dispatch sends a request that has a slot. It looks the route up again, since
// the lease may have ended or the slice may be moving since the request was queued.
func (q *queue) dispatch(ctx context.Context, req *frontend.Request, t *ticket) (*frontend.Response, *frontend.RequestError) {
	now := q.cfg.Now()
	view, _ := q.cfg.Views.Current()
	route, ok := view.Lookup(req.Service, req.KeyHash, now)
	if !ok || route.Server != q.server || !route.Dispatchable {
		q.finish(t, admission.Result{Outcome: admission.OutcomeCanceled})
		return nil, frontend.RerouteError()
	}
	call := Call{
		Server: q.server, Spec: route.ServerView.Spec, Request: req,
		Term: route.ServerView.Term, SubTerm: route.ServerView.SubTerm, Generation: route.Slice.Generation,
		Remaining: req.Deadline - now,
	}
	resp, failure := q.cfg.Backend.Do(ctx, call)
	if failure != nil {
		return nil, q.failed(ctx, t, failure)
	}
	slice := ownership.SliceRef{Range: route.Slice.Range, Generation: route.Slice.Generation}
	return q.receive(ctx, req, t, resp, slice, now)
}

func (q *queue) failed(ctx context.Context, t *ticket, f *Failure) *frontend.RequestError {
	switch f.Kind {
	case FailureNotSent:
		q.finish(t, admission.Result{Outcome: admission.OutcomeError})
		return frontend.NewRefusal(callerapi.ReasonConnectFailed, time.Second, "no connection to Server/%s: %v", q.server, f.Err)
	case FailureRefused:
		q.finish(t, admission.Result{Outcome: admission.OutcomeRefused})
		return frontend.NewRefusal(callerapi.ReasonServerRefused, time.Second, "Server/%s refused: %v", q.server, f.Err)
	case FailureOverload:
		q.finish(t, admission.Result{Outcome: admission.OutcomeOverload})
		return frontend.NewRefusal(callerapi.ReasonServerRefused, time.Second, "Server/%s is overloaded: %v", q.server, f.Err)
	}
	return q.unknown(ctx, t, f.Err)
}

func (q *queue) unknown(ctx context.Context, t *ticket, err error) *frontend.RequestError {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		q.finish(t, admission.Result{Outcome: admission.OutcomeTimeout})
		return frontend.NewUnknownOutcome(http.StatusGatewayTimeout, callerapi.ReasonAnswerTimeout, "Server/%s did not answer before the deadline", q.server)
	}
	outcome := admission.OutcomeError
	if ctx.Err() != nil {
		outcome = admission.OutcomeCanceled // the caller left, which says nothing about the server
	}
	q.finish(t, admission.Result{Outcome: outcome})
	return frontend.NewUnknownOutcome(http.StatusBadGateway, callerapi.ReasonNoAnswer, "the connection to Server/%s was lost: %v", q.server, err)
}

// receive reads a response. A short one is taken whole; a longer one is
// streamed and holds its slot until it ends.
func (q *queue) receive(ctx context.Context, req *frontend.Request, t *ticket, resp *frontend.Response, slice ownership.SliceRef, sent time.Duration) (*frontend.Response, *frontend.RequestError) {
	head, err := io.ReadAll(io.LimitReader(resp.Body, MaxBufferedResponseBytes+1))
	if err != nil {
		_ = resp.Body.Close()
		return nil, q.unknown(ctx, t, err)
	}
	answer := &frontend.Response{
		Status: resp.Status, Header: resp.Header, ContentLength: resp.ContentLength,
		Outcome: callerapi.Done, Reason: callerapi.ReasonOK,
	}
	end := func(outcome admission.Outcome) {
		took := q.cfg.Now() - sent
		q.loads.add(q.cfg.Now(), req, slice, q.server, took)
		q.finish(t, admission.Result{Outcome: outcome, ServiceTime: took})
	}
	if len(head) <= MaxBufferedResponseBytes {
		_ = resp.Body.Close()
		end(resultOf(resp.Status))
		answer.Body = io.NopCloser(bytes.NewReader(head))
		if req.Method != http.MethodHead {
			answer.ContentLength = int64(len(head))
		}
		return answer, nil
	}
	answer.Body = &streamedBody{
		Reader: io.MultiReader(bytes.NewReader(head), resp.Body), source: resp.Body,
		ended: func(whole bool) {
			if whole {
				end(resultOf(resp.Status))
				return
			}
			end(admission.OutcomeError)
		},
	}
	return answer, nil
}

// resultOf counts server errors against the concurrency limit.
func resultOf(status int) admission.Outcome {
	if status >= 500 {
		return admission.OutcomeError
	}
	return admission.OutcomeOK
}

// streamedBody reports once whether a response was read to its end.
type streamedBody struct {
	io.Reader
	source io.Closer
	ended  func(whole bool)
	done   bool
}

func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.report(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer.
func (b *streamedBody) Close() error {
	err := b.source.Close()
	b.report(false)
	return err
}

func (b *streamedBody) report(whole bool) {
	if !b.done {
		b.done = true
		b.ended(whole)
	}
}
