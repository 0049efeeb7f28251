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

// retryInterval is the pause after all hosts were called without success.
const retryInterval = 250 * time.Millisecond

// SubmitChange sends a change and returns its outcome: accepted, refused or invalid.
// When a response is lost, the next host is asked for the outcome of the change
// id; if it does not know the outcome, it is sent the same change again. The
// error has the code exit.Failure if the change was certainly not proposed, and
// exit.OutcomeUnknown if its outcome was not found within Config.SettleTimeout.
func (c *Client) SubmitChange(ctx context.Context, method, path, changeID string, body any) (operatorapi.Change, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return operatorapi.Change{}, err
	}
	pending := &pendingChange{client: c, method: method, path: path, changeID: changeID, body: data}
	deadline := time.Now().Add(c.cfg.SettleTimeout)
	for round := 0; ; round++ {
		for _, host := range c.cfg.Hosts {
			if change, done, err := pending.sendTo(ctx, host); done {
				return change, err
			}
		}
		if !pending.mayHaveBeenProposed {
			return operatorapi.Change{}, exit.Errorf(exit.Failure, "no entry host accepted the change: %w", errors.Join(pending.failures...))
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return operatorapi.Change{}, exit.Errorf(exit.OutcomeUnknown,
				"the outcome of change %s is unknown; it may still take effect (GET /v1/changes/%s settles it): %w",
				changeID, changeID, errors.Join(pending.failures...))
		}
		pending.failures = nil // report only the last round; earlier ones fail in the same way
		sleepContext(ctx, retryInterval)
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pendingChange is a change whose outcome is not yet known. changeID stays the
// same for all hosts, so that the change is applied at most once.
type pendingChange struct {
	client              *Client
	method              string
	path                string
	changeID            string
	body                []byte
	mayHaveBeenProposed bool // a host may have appended the change to the log
	failures            []error
}

// sendTo sends the change to one host, after asking it for the outcome if the
// change may have been proposed before. done reports that no other host needs to
// be called. err matters only if done is true; the errors of hosts without an
// outcome are in p.failures.
func (p *pendingChange) sendTo(ctx context.Context, host string) (change operatorapi.Change, done bool, err error) {
	if p.mayHaveBeenProposed {
		if change, ok := p.lookUpOutcome(ctx, host); ok {
			return change, true, nil
		}
	}
	header := http.Header{operatorapi.HeaderChangeID: {p.changeID}, "Content-Type": {"application/json"}}
	status, data, err := p.client.callHost(ctx, p.method, host, p.path, header, bytes.NewReader(p.body))
	if err != nil {
		p.mayHaveBeenProposed = p.mayHaveBeenProposed || !neverSent(err)
		p.failures = append(p.failures, err)
		return change, false, nil
	}
	// Other hosts expect the same token, so the search ends here, unless an earlier
	// host may have proposed the change: then its outcome is still looked for.
	if status == http.StatusUnauthorized {
		return change, !p.mayHaveBeenProposed, p.recordFailure(errorFromResponse(host, status, data))
	}
	if json.Unmarshal(data, &change) != nil || change.State == "" {
		// Not a response of the API. A proxy may have forwarded the change to a host.
		p.mayHaveBeenProposed = true
		return change, false, p.recordFailure(errorFromResponse(host, status, data))
	}
	return change, p.recordUnlessFinal(host, change), nil
}

// recordFailure adds err to the failures and returns it.
func (p *pendingChange) recordFailure(err error) error {
	p.failures = append(p.failures, err)
	return err
}

// recordUnlessFinal reports whether the state in a host's response is final. If not,
// it records the state as a failure.
func (p *pendingChange) recordUnlessFinal(host string, change operatorapi.Change) bool {
	switch change.State {
	case operatorapi.ChangeAccepted, operatorapi.ChangeRefused:
		return true
	case operatorapi.ChangeInvalid:
		// With an offset, the change is in the log and was found invalid when it was
		// applied. Without one, this host did not propose it, but another host may
		// have done so earlier.
		if change.Offset > 0 || !p.mayHaveBeenProposed {
			return true
		}
	case operatorapi.ChangeNotAccepted:
	default:
		p.mayHaveBeenProposed = true
	}
	p.failures = append(p.failures, exit.Errorf(exit.Failure, "%s: %s: %s", host, change.State, change.Reason))
	return false
}

// lookUpOutcome asks one host for the outcome of the change, and reports whether
// the host knows it. A lookup reports an invalid change as refused, since the host
// cannot check the references again without the body.
func (p *pendingChange) lookUpOutcome(ctx context.Context, host string) (operatorapi.Change, bool) {
	var change operatorapi.Change
	_, data, err := p.client.callHost(ctx, http.MethodGet, host, "/v1/changes/"+p.changeID, nil, nil)
	if err != nil || json.Unmarshal(data, &change) != nil {
		return change, false
	}
	return change, change.State == operatorapi.ChangeAccepted || change.State == operatorapi.ChangeRefused
}

// neverSent reports whether no connection was made, so that the host cannot have
// got the change.
func neverSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
