package simulation

import (
	"strings"

	"mapleslip/internal/strictjson"
)

// checkMessage reports a violation if a check has found a message that does not follow the
// protocol, and returns whether it does.
func (w *World) checkMessage(what string, err error) bool {
	if err != nil {
		w.reportViolation("malformed: %s: %v", what, err)
	}
	return err == nil
}

// checkedAnswer wraps the handler of the answer to a request to a controller: the answer is checked
// first. No answer has status 0.
func (w *World) checkedAnswer(kind string, answer func(int, []byte)) func(int, []byte) {
	return func(status int, body []byte) {
		if status != 0 {
			w.checkMessage("answer to "+kind, checkAnswer(kind, status, body))
		}
		answer(status, body)
	}
}

func checkAnswer(kind string, status int, body []byte) error {
	switch kind {
	case "hello":
		return strictjson.CheckReportAnswer(status, body)
	case "submit", "query", "cancel":
		return strictjson.CheckJobAnswer(status, body)
	}
	if len(body) == 0 {
		return nil
	}
	return strictjson.Check(body)
}

// checkCloudRequest checks the body of a request that rents or releases machines.
func checkCloudRequest(path string, body []byte) error {
	if strings.HasSuffix(path, "/release") {
		return strictjson.CheckRelease(body)
	}
	return strictjson.CheckRental(body)
}
