// Package client is what users' commands speak to the controllers with. It repeats a
// request as the protocol asks of users.
package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// Client asks the controllers of one deployment.
type Client struct {
	Servers  []string      // IP:port, asked in turn
	Patience time.Duration // for all tries of a request, 60 s if 0
	Retried  func(why string, wait time.Duration)

	http  http.Client
	turn  int
	sleep func(context.Context, time.Duration)
}

// New makes a client of servers that are separated by commas.
func New(servers string) (*Client, error) {
	c := &Client{sleep: func(ctx context.Context, d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}}
	for _, s := range strings.Split(servers, ",") {
		s = strings.TrimSpace(s)
		if host, port, err := net.SplitHostPort(s); err != nil || host == "" || port == "" {
			return nil, fmt.Errorf("--server: %q is not an address with a port", s)
		}
		c.Servers = append(c.Servers, s)
	}
	return c, nil
}

// RefusedError is an answer that is not worth repeating.
type RefusedError struct {
	Status int
	Text   string
}

func (e *RefusedError) Error() string {
	if e.Text == "" {
		return fmt.Sprintf("refused with status %d", e.Status)
	}
	return fmt.Sprintf("%s (status %d)", e.Text, e.Status)
}

// Limits of the protocol on users' requests.
const (
	tryFor     = 5 * time.Second
	leastWait  = time.Second
	mostWait   = 30 * time.Second
	patience   = 60 * time.Second
	mostAnswer = 1 << 20
)

// Do makes a request until it is answered for good: with 200 or 201, or with 400,
// 404, 409 or 422, which is a Refused. Anything else is repeated after a second or
// more, or after Retry-After.
func (c *Client) Do(ctx context.Context, method, path string, body []byte) (status int, answer []byte, err error) {
	limit := c.Patience
	if limit == 0 {
		limit = patience
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		status, answer, after, err := c.try(ctx, method, path, body)
		why := ""
		switch {
		case err != nil:
			why = err.Error()
		case status == 200 || status == 201:
			return status, answer, nil
		case status == 400 || status == 404 || status == 405 || status == 409 || status == 422:
			return status, answer, &RefusedError{status, fastjson.GetString(answer, "error")}
		default:
			why = fmt.Sprintf("status %d %s", status, fastjson.GetString(answer, "error"))
		}
		wait := min(max(after, leastWait), mostWait)
		wait += time.Duration(rand.Int64N(int64(wait) / 4)) // many that were refused together come one by one
		if c.Retried != nil && ctx.Err() == nil {
			c.Retried(why, wait)
		}
		if c.sleep(ctx, wait); ctx.Err() != nil {
			return 0, nil, fmt.Errorf("no answer of %s: %s", strings.Join(c.Servers, ", "), why)
		}
	}
}

func (c *Client) try(ctx context.Context, method, path string, body []byte) (status int, answer []byte, after time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, tryFor)
	defer cancel()
	server := c.Servers[c.turn%len(c.Servers)]
	r, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, 0, err
	}
	resp, err := c.http.Do(r)
	if err == nil {
		defer resp.Body.Close()
		answer, err = io.ReadAll(io.LimitReader(resp.Body, mostAnswer))
	}
	if err != nil {
		c.turn++ // another controller may be well
		var op *net.OpError
		if errors.As(err, &op) {
			err = op
		}
		return 0, nil, 0, err
	}
	if resp.StatusCode >= 500 {
		c.turn++
	}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		after = time.Duration(s) * time.Second
	}
	return resp.StatusCode, answer, after, nil
}
