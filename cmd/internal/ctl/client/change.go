package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/cmd/internal/ctl/exit"
)

// settleInterval is the pause after each round over all hosts while the outcome
// of a change is sought.
const settleInterval = 250 * time.Millisecond

// SubmitChange sends a change and returns its outcome: accepted, refused or invalid.
// When a response is lost, the next host is asked for the change id, and gets
// the same change again if it has not seen it. The error has the code
// exit.Failure when the change was certainly not proposed, and exit.Unknown when
// its outcome could not be settled in time.
func (c *Client) SubmitChange(ctx context.Context, method, path, changeID string, body any) (operatorapi.Change, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return operatorapi.Change{}, err
	}
	a := &attempt{c: c, method: method, path: path, id: changeID, body: data}
	deadline := time.Now().Add(c.cfg.SettleTimeout)
	for round := 0; ; round++ {
		for _, host := range c.cfg.Hosts {
			if change, done, err := a.try(ctx, host); done {
				return change, err
			}
		}
		if !a.inDoubt {
			return operatorapi.Change{}, exit.Errorf(exit.Failure, "no entry host accepted the change: %w", errors.Join(a.failures...))
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return operatorapi.Change{}, exit.Errorf(exit.OutcomeUnknown,
				"the outcome of change %s is unknown; it may still take effect (GET /v1/changes/%s settles it): %w",
				changeID, changeID, errors.Join(a.failures...))
		}
		a.failures = nil // of earlier rounds, which look the same
		pause(ctx, settleInterval)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// attempt is one change on its way.
type attempt struct {
	c        *Client
	method   string
	path     string
	id       string
	body     []byte
	inDoubt  bool // the change may have been proposed
	failures []error
}

// try sends the change to one host; done says that the outcome is settled.
func (a *attempt) try(ctx context.Context, host string) (change operatorapi.Change, done bool, err error) {
	if a.inDoubt {
		if change, ok := a.lookup(ctx, host); ok {
			return change, true, nil
		}
	}
	header := http.Header{operatorapi.HeaderChangeID: {a.id}, "Content-Type": {"application/json"}}
	status, data, err := a.c.call(ctx, a.method, host, a.path, header, bytes.NewReader(a.body))
	if err != nil {
		a.inDoubt = a.inDoubt || !neverSent(err)
		a.failures = append(a.failures, err)
		return change, false, nil
	}
	if status == http.StatusUnauthorized {
		return change, !a.inDoubt, a.keep(problemOf(host, status, data))
	}
	if json.Unmarshal(data, &change) != nil || change.State == "" {
		// Not a response of the API. Whatever stands between may have passed the change on.
		a.inDoubt = true
		return change, false, a.keep(problemOf(host, status, data))
	}
	return change, a.settled(host, change), nil
}

// keep remembers an error and returns it.
func (a *attempt) keep(err error) error {
	a.failures = append(a.failures, err)
	return err
}

func (a *attempt) settled(host string, change operatorapi.Change) bool {
	switch change.State {
	case operatorapi.ChangeAccepted, operatorapi.ChangeRefused:
		return true
	case operatorapi.ChangeInvalid:
		// With an offset the fold decided; without one this host did not propose
		// the change, which says nothing about an earlier proposal.
		if change.Offset > 0 || !a.inDoubt {
			return true
		}
	case operatorapi.ChangeNotAccepted:
	default:
		a.inDoubt = true
	}
	a.failures = append(a.failures, exit.Errorf(exit.Failure, "%s: %s: %s", host, change.State, change.Reason))
	return false
}

func (a *attempt) lookup(ctx context.Context, host string) (operatorapi.Change, bool) {
	var change operatorapi.Change
	_, data, err := a.c.call(ctx, http.MethodGet, host, "/v1/changes/"+a.id, nil, nil)
	if err != nil || json.Unmarshal(data, &change) != nil {
		return change, false
	}
	return change, change.State == operatorapi.ChangeAccepted || change.State == operatorapi.ChangeRefused
}

// neverSent reports whether no connection was made, so that the host cannot have
// got the change.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
