package readlimit

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// slowBody yields a byte after each interval and ends after a number of them.
type slowBody struct {
	ctx      context.Context
	interval time.Duration
	bytes    int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.bytes == 0 {
		return 0, io.EOF
	}
	b.bytes--
	select {
	case <-time.After(b.interval):
		return 1, nil
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}

func (b *slowBody) Close() error { return nil }

type transportFunc func(*http.Request) (*http.Response, error)

func (f transportFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a limit for the whole response, which ends one that arrives steadily, and against a
// response that stands still or does not end.
func TestResponseIsLimitedByItsProgress(t *testing.T) {
	const maxWait, maxTransfer = time.Second, 5 * time.Second
	for name, v := range map[string]struct {
		headAfter, interval time.Duration
		bytes               int
		longest             time.Duration // 0 for a whole response
	}{
		"steady":      {headAfter: 900 * time.Millisecond, interval: 700 * time.Millisecond, bytes: 6},
		"late head":   {headAfter: 2 * time.Second, longest: maxWait},
		"stops":       {interval: 2 * time.Second, bytes: 2, longest: maxWait},
		"never ends":  {interval: 700 * time.Millisecond, bytes: 1000, longest: maxTransfer},
		"empty whole": {},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := Client{MaxBytes: 1 << 10, MaxWait: maxWait, MaxTransfer: maxTransfer, HTTP: &http.Client{Transport: transportFunc(func(r *http.Request) (*http.Response, error) {
				select {
				case <-time.After(v.headAfter):
				case <-r.Context().Done():
					return nil, r.Context().Err()
				}
				return &http.Response{StatusCode: http.StatusOK, Body: &slowBody{ctx: r.Context(), interval: v.interval, bytes: v.bytes}}, nil
			})}}
			begin := time.Now()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://host/", nil)
			require.NoError(t, err)
			response, err := c.Do(r)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				require.NoError(t, response.Body.Close())
			}
			if v.longest == 0 {
				require.NoError(t, err, name)
				return
			}
			require.ErrorIs(t, err, context.DeadlineExceeded, name)
			require.Equal(t, v.longest, time.Since(begin), name)
		})
	}
}
