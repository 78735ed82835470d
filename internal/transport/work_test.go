package transport

import (
	"fmt"
	"strings"
	"testing"

	"mapleslip/internal/costlyform"
	"mapleslip/internal/worktest"
)

// costlyRequests are requests of about a size, in bytes, that are costly to read.
func costlyRequests(size int) map[string]string {
	const start, chunked = "POST /api/jobs HTTP/1.1\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	return map[string]string{
		"header lines":       start + strings.Repeat("a: b\r\n", size/6) + "\r\n",
		"a long header line": start + "a: " + strings.Repeat("b", size) + "\r\n\r\n",
		"connection options": start + "Connection: " + strings.Repeat("a,", size/2) + "\r\n\r\n",
		"a long target":      "GET /" + strings.Repeat("%41", size/3) + " HTTP/1.1\r\n\r\n",
		"a query":            "GET /?" + strings.Repeat("a&", size/2) + " HTTP/1.1\r\n\r\n",
		"empty lines":        strings.Repeat("\r\n", size/2),
		"chunks of a byte":   start + chunked + strings.Repeat("1\r\na\r\n", size/6) + "0\r\n\r\n",
		"chunk extensions":   start + chunked + strings.Repeat("1;"+strings.Repeat("x", 500)+"\r\na\r\n", size/507) + "0\r\n\r\n",
		"trailers":           start + chunked + "0\r\n" + strings.Repeat("a: b\r\n", size/6) + "\r\n",
		"a long body":        start + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("a", size),
	}
}

// A request costs no more work than its size allows, whether it arrives whole or a byte at a time.
func TestOneRequestCausesBoundedWork(t *testing.T) {
	for _, part := range []int{1, 100, 1 << 20} {
		for size := costlyform.MinSize; size <= 8*MaxBody; size *= 2 {
			for name, text := range costlyRequests(size) {
				excess := worktest.Measure(costlyform.Body{Name: name, Text: []byte(text)}, func([]byte) { _, _ = readParts(text, part) })
				if excess != nil {
					t.Errorf("in parts of %d: %v", part, excess)
				}
			}
		}
	}
}

// So does a response whose chunks arrive a few at a time: each is decoded once.
func TestOneResponseCausesBoundedWork(t *testing.T) {
	const part = 100
	for size := costlyform.MinSize; size <= 1<<20; size *= 2 {
		text := []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", size/6) + "0\r\n\r\n")
		read := func([]byte) {
			var r ResponseReader
			for end := part; ; end += part {
				response, _, err := r.Parse(text[:min(end, len(text))], end >= len(text))
				if err != nil || response == nil && end >= len(text) {
					t.Fatalf("%d bytes: %v", size, err)
				}
				if response != nil {
					return
				}
			}
		}
		if excess := worktest.Measure(costlyform.Body{Name: "chunks of a byte", Text: text}, read); excess != nil {
			t.Error(excess)
		}
	}
}
