package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"mapleslip/internal/costlyform"
	"mapleslip/internal/transport"
)

const (
	// costlyRequestBytes is the size of the bodies that the demonstration sends.
	costlyRequestBytes = 60_000
	// costlyRequestTimeout is how long users wait for an answer (protocol, POST /api/jobs).
	costlyRequestTimeout = 5 * time.Second
)

// sendCostlyBodies submits bodies that are costly to parse to every controller. The client closes its
// sending side after each. All have to get 400 in the time that users wait, and a health check after them
// 200.
func (m *demo) sendCostlyBodies(ctx context.Context) error {
	bodies := costlyform.Bodies(costlyRequestBytes)
	var slowest time.Duration
	for _, address := range m.dev.clients {
		for _, body := range bodies {
			took, err := sendHalfClosed(ctx, address, "POST", "/api/jobs", body.Text, http.StatusBadRequest)
			if err != nil {
				return fmt.Errorf("%s at %s: %w", body.Name, address, err)
			}
			slowest = max(slowest, took)
		}
		if _, err := sendHalfClosed(ctx, address, "GET", "/healthz", nil, http.StatusOK); err != nil {
			return fmt.Errorf("health check of %s: %w", address, err)
		}
	}
	m.recordResult("costly bodies are refused", true, "%d, the slowest within %d ms", len(bodies)*len(m.dev.clients), slowest.Milliseconds())
	return nil
}

// sendHalfClosed sends a request, closes the sending side, and returns how long the answer took. It is an
// error if the answer does not have the expected status.
func sendHalfClosed(ctx context.Context, address, method, path string, body []byte, expected int) (time.Duration, error) {
	began := time.Now()
	dialer := net.Dialer{Timeout: costlyRequestTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(began.Add(costlyRequestTimeout))
	if _, err := conn.Write(transport.AppendRequest(nil, method, address, path, body)); err != nil {
		return 0, err
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		return 0, err
	}
	response, err := readResponse(conn)
	if err != nil {
		return 0, err
	}
	if response.Status != expected {
		return 0, fmt.Errorf("status %d: %s", response.Status, response.Body)
	}
	return time.Since(began), nil
}

// readResponse reads one response.
func readResponse(conn net.Conn) (*transport.Response, error) {
	var reader transport.ResponseReader
	var received []byte
	buffer := make([]byte, 4<<10)
	for {
		n, readErr := conn.Read(buffer)
		received = append(received, buffer[:n]...)
		response, _, err := reader.Parse(received, readErr != nil)
		switch {
		case err != nil:
			return nil, err
		case response != nil:
			return response, nil
		case readErr != nil:
			return nil, readErr
		}
	}
}
