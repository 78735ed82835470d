// Package client is the HTTP client with which users' commands call the controllers. It retries
// requests as the protocol requires of users.
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

	"mapleslip/internal/protocol"
)

// Client sends requests to the controllers of one deployment.
type Client struct {
	Servers []string      // IP:port of each controller; the next one is tried after a failure
	Timeout time.Duration // for all attempts of a request; 60 s if 0
	// OnRetry is called before each retry with the reason and the delay; it may be nil.
	OnRetry func(why string, wait time.Duration)

	http       http.Client
	nextServer int
	sleep      func(context.Context, time.Duration)
}

// New creates a client for a list of servers that are separated by commas.
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

// RefusedError reports a response that a retry would not change: status 400, 404, 405, 409 or 422.
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

// errNotJSON is the error for a final response that is not JSON as the controllers write it.
var errNotJSON = errors.New("the response is not JSON")

// Limits that the protocol sets for users' requests.
const (
	attemptTimeout   = 5 * time.Second
	minRetryDelay    = time.Second
	maxRetryDelay    = 30 * time.Second
	defaultTimeout   = 60 * time.Second
	maxResponseBytes = 1 << 20
)

// Do sends a request until it gets a final response: one with status 200 or 201, or one with 400,
// 404, 405, 409 or 422, for which the error is a RefusedError. After any other result it retries,
// until the timeout. The delay is Retry-After, but at least 1 s and at most 30 s, plus a random
// part of up to a quarter of that.
func (c *Client) Do(ctx context.Context, method, path string, body []byte) (status int, response []byte, err error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		status, response, retryAfter, err := c.doOnce(ctx, method, path, body)
		reason := ""
		switch {
		case err != nil:
			reason = err.Error()
		case status == 200 || status == 201:
			return status, response, nil
		case status == 400 || status == 404 || status == 405 || status == 409 || status == 422:
			return status, response, &RefusedError{status, protocol.TextMember(response, "error")}
		default:
			reason = fmt.Sprintf("status %d %s", status, protocol.TextMember(response, "error"))
		}
		delay := min(max(retryAfter, minRetryDelay), maxRetryDelay)
		// Jitter: many clients that were refused at the same time do not retry at the same time.
		delay += time.Duration(rand.Int64N(int64(delay) / 4))
		if c.OnRetry != nil && ctx.Err() == nil {
			c.OnRetry(reason, delay)
		}
		if c.sleep(ctx, delay); ctx.Err() != nil {
			return 0, nil, fmt.Errorf("no answer of %s: %s", strings.Join(c.Servers, ", "), reason)
		}
	}
}

// doOnce makes one attempt of a request. If the server does not respond, or responds with a status
// of 500 or above, the next attempt uses the next server.
func (c *Client) doOnce(ctx context.Context, method, path string, body []byte) (status int, response []byte, retryAfter time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	server := c.Servers[c.nextServer%len(c.Servers)]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, 0, err
	}
	resp, err := c.http.Do(request)
	if err == nil {
		defer resp.Body.Close()
		response, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	}
	if err == nil && resp.StatusCode < http.StatusMultipleChoices {
		err = checkResponse(response)
	}
	if err != nil {
		c.nextServer++ // another controller may be available
		var op *net.OpError
		if errors.As(err, &op) {
			err = op
		}
		return 0, nil, 0, err
	}
	if resp.StatusCode >= 500 {
		c.nextServer++
	}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		retryAfter = time.Duration(s) * time.Second
	}
	return resp.StatusCode, response, retryAfter, nil
}

// checkResponse returns errNotJSON for a response that is not JSON, or nests more deeply than messages
// may. Parsing one that passes takes work in proportion to its size.
func checkResponse(response []byte) error {
	if _, err := protocol.ParseValue(new(fastjson.Parser), response); err != nil {
		return errNotJSON
	}
	return nil
}
