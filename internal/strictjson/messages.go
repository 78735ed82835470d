package strictjson

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// maxLine is the limit of a line of an answer to workers or users, in bytes (protocol, first section).
const maxLine = 64 << 10

// decode reads a message into a struct with all fields that the protocol names. Another field is an
// error, as is a name in another spelling.
func decode(text []byte, into any) error {
	return json.Unmarshal(text, into, json.RejectUnknownMembers(true))
}

// decodeRequest is decode for the body of a request.
func decodeRequest(body []byte, into any) error {
	if err := CheckRequest(body); err != nil {
		return err
	}
	return decode(body, into)
}

// decodeAnswer is decode for an answer to workers or users.
func decodeAnswer(body []byte, into any) error {
	for line := range strings.SplitSeq(string(body), "\n") {
		if len(line) > maxLine {
			return fmt.Errorf("a line of %d bytes", len(line))
		}
	}
	if err := Check(body); err != nil {
		return err
	}
	return decode(body, into)
}

// condition is a condition of a transaction.
type condition struct {
	Path  *string `json:"path"`
	Stamp *uint64 `json:"stamp"`
}

// change is a put or a delete of a transaction.
type change struct {
	Set  *string        `json:"set"`
	Drop *string        `json:"drop"`
	Data jsontext.Value `json:"data"`
	Hold uint64         `json:"hold"`
}

// CheckTransaction checks the body of a transaction, but for the limits of the platform.
func CheckTransaction(body []byte) error {
	var m struct {
		When []condition `json:"when"`
		Then []change    `json:"then"`
	}
	if err := decodeRequest(body, &m); err != nil {
		return err
	}
	for _, c := range m.When {
		if c.Path == nil || c.Stamp == nil {
			return errors.New("a condition without path or stamp")
		}
		if err := checkKey(*c.Path); err != nil {
			return err
		}
	}
	for _, c := range m.Then {
		if err := c.check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *change) check() error {
	switch {
	case (c.Set == nil) == (c.Drop == nil):
		return errors.New("a change with both set and drop, or neither")
	case c.Drop != nil && (c.Data != nil || c.Hold != 0):
		return errors.New("a delete with data or hold")
	case c.Drop != nil:
		return checkKey(*c.Drop)
	case c.Data == nil:
		return errors.New("a put without data")
	}
	return checkKey(*c.Set)
}

// maxKey is the limit of a key of the state service, in bytes.
const maxKey = 200

func checkKey(key string) error {
	if len(key) < 1 || len(key) > maxKey || strings.Contains(key, " ") {
		return fmt.Errorf("the key %q", key)
	}
	return nil
}

// Limits of the time to live of a lease of the state service, in milliseconds.
const (
	minLease = 100
	maxLease = 600_000
)

// CheckLease checks the body of a request for a lease.
func CheckLease(body []byte) error {
	var m struct {
		TTL int `json:"ttlMs"`
	}
	if err := decodeRequest(body, &m); err != nil {
		return err
	}
	if m.TTL < minLease || m.TTL > maxLease {
		return fmt.Errorf("ttlMs %d", m.TTL)
	}
	return nil
}

// Limits of the numbers of machines in one request to the cloud.
const (
	maxRented   = 50
	maxReleased = 100
)

// CheckRental checks the body of a request that rents machines.
func CheckRental(body []byte) error {
	var m struct {
		Claim       string `json:"claim"`
		Flavor      string `json:"flavor"`
		Region      string `json:"region"`
		Reclaimable *bool  `json:"reclaimable"`
		Count       int    `json:"count"`
	}
	if err := decodeRequest(body, &m); err != nil {
		return err
	}
	if m.Claim == "" || m.Flavor == "" || m.Region == "" || m.Reclaimable == nil || m.Count < 1 || m.Count > maxRented {
		return fmt.Errorf("rental: %s", body)
	}
	return nil
}

// CheckRelease checks the body of a request that releases machines.
func CheckRelease(body []byte) error {
	var m struct {
		Hosts []string `json:"hosts"`
	}
	if err := decodeRequest(body, &m); err != nil {
		return err
	}
	if len(m.Hosts) < 1 || len(m.Hosts) > maxReleased || slices.Contains(m.Hosts, "") {
		return fmt.Errorf("release of %d machines", len(m.Hosts))
	}
	return nil
}

// order is a command to a worker.
type order struct {
	Verb   string   `json:"verb"`
	Shard  string   `json:"shard"`
	Try    *uint64  `json:"try"`
	DrainS *float64 `json:"drainS"`
}

func checkOrders(orders []order) error {
	for _, o := range orders {
		known := slices.Contains([]string{"launch", "stop", "forget"}, o.Verb)
		if !known || !strings.Contains(o.Shard, "/") || o.Try == nil {
			return fmt.Errorf("the order %+v", o)
		}
		if (o.Verb == "stop") != (o.DrainS != nil) || o.DrainS != nil && *o.DrainS < 0 {
			return fmt.Errorf("drainS of the order %+v", o)
		}
	}
	return nil
}

// CheckCommands checks the body of a direct command to a worker.
func CheckCommands(body []byte) error {
	var m struct {
		Epoch  uint64  `json:"epoch"`
		Tenure uint64  `json:"tenure"`
		Orders []order `json:"orders"`
	}
	if err := decodeRequest(body, &m); err != nil {
		return err
	}
	if m.Epoch == 0 || m.Tenure == 0 {
		return errors.New("epoch or tenure is missing")
	}
	return checkOrders(m.Orders)
}

// CheckReportAnswer checks the answer to a worker's report.
func CheckReportAnswer(status int, body []byte) error {
	switch status {
	case http.StatusOK:
		var m struct {
			Epoch  uint64  `json:"epoch"`
			Orders []order `json:"orders"`
		}
		if err := decodeAnswer(body, &m); err != nil {
			return err
		}
		return checkOrders(m.Orders)
	case http.StatusMisdirectedRequest:
		var m struct {
			Leader string `json:"leader"`
		}
		return decodeAnswer(body, &m)
	}
	return checkError(body)
}

// CheckJobAnswer checks the answer to a user's submission, question or cancellation.
func CheckJobAnswer(status int, body []byte) error {
	if status != http.StatusOK && status != http.StatusCreated {
		return checkError(body)
	}
	var m struct {
		Ref      string   `json:"ref"`
		Phase    string   `json:"phase"`
		Done     int      `json:"done"`
		Running  int      `json:"running"`
		Awaiting []string `json:"awaiting"`
	}
	if err := decodeAnswer(body, &m); err != nil {
		return err
	}
	if m.Ref == "" || !slices.Contains([]string{"queued", "running", "done", "cancelled"}, m.Phase) || m.Done < 0 || m.Running < 0 {
		return fmt.Errorf("the state %s", body)
	}
	return nil
}

// checkError checks an answer that tells why a request failed. It may be empty.
func checkError(body []byte) error {
	if len(body) == 0 {
		return nil
	}
	var m struct {
		Error    string `json:"error"`
		Revision uint64 `json:"revision"`
	}
	return decodeAnswer(body, &m)
}
