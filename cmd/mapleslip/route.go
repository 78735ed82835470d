package main

import (
	"strings"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
	"mapleslip/internal/transport"
)

// heartbeatPath is the path of workers' heartbeats.
const heartbeatPath = "/hello"

// configRoutes contains the method and operation of each configuration request, by path.
var configRoutes = map[string]struct {
	method string
	op     protocol.UserOp
	arg    string // name of the query parameter, "" if the request has none
}{
	"/api/config":          {"GET", protocol.OpConfig, ""},
	"/api/config/apply":    {"POST", protocol.OpConfigApply, ""},
	"/api/config/history":  {"GET", protocol.OpConfigHistory, "before"},
	"/api/config/rollback": {"POST", protocol.OpConfigRollback, ""},
	"/api/config/wait":     {"GET", protocol.OpConfigWait, "revision"},
	"/api/config/status":   {"GET", protocol.OpConfigStatus, ""},
}

// queryParameter returns the value of a parameter of a URL query, or "" if the parameter is absent.
func queryParameter(query, name string) string {
	for _, part := range strings.Split(query, "&") {
		if k, v, _ := strings.Cut(part, "="); k == name {
			return v
		}
	}
	return ""
}

var rolloutActions = map[string]protocol.UserOp{
	"": protocol.OpRolloutShow, "pause": protocol.OpRolloutPause, "resume": protocol.OpRolloutResume,
	"revert": protocol.OpRolloutRevert,
}

// route is what an HTTP request asks for.
type route struct {
	method string // that the path takes
	kind   string // of the event, for metrics
	event  func(to controller.ReplyAddress) controller.Event
}

// userRoute returns the route of a user's or operator's request.
func userRoute(method string, op protocol.UserOp, ref string, body []byte) *route {
	return &route{method, "user", func(to controller.ReplyAddress) controller.Event {
		return controller.NewUserRequest(to, op, ref, body)
	}}
}

// routeOf returns the route of a request, or nil if its path is unknown.
func routeOf(r *transport.Request) *route {
	configRoute, isConfig := configRoutes[r.Path]
	switch {
	case r.Path == "/healthz":
		return &route{"GET", "health", func(to controller.ReplyAddress) controller.Event { return controller.HealthzRequest{Reply: to} }}
	case r.Path == heartbeatPath:
		return &route{"POST", "report", func(to controller.ReplyAddress) controller.Event {
			return controller.NewWorkerHeartbeat(to, r.Body, false)
		}}
	case r.Path == "/api/jobs":
		return userRoute("POST", protocol.OpSubmit, "", r.Body)
	case strings.HasPrefix(r.Path, "/api/jobs/"):
		return jobRoute(strings.TrimPrefix(r.Path, "/api/jobs/"))
	case isConfig:
		if r.Path == "/api/config" && r.Method == "POST" {
			configRoute = configRoutes["/api/config/apply"]
		}
		return userRoute(configRoute.method, configRoute.op, queryParameter(r.Query, configRoute.arg), r.Body)
	case r.Path == "/api/rollouts" && r.Method == "GET":
		return userRoute("GET", protocol.OpRollouts, "", nil)
	case r.Path == "/api/rollouts":
		return userRoute("POST", protocol.OpRollout, "", r.Body)
	case strings.HasPrefix(r.Path, "/api/rollouts/"):
		return rolloutRoute(strings.TrimPrefix(r.Path, "/api/rollouts/"))
	}
	return nil
}

// jobRoute returns the route of a request about a job, by the path after that of all jobs.
func jobRoute(path string) *route {
	if ref, isCancellation := strings.CutSuffix(path, "/cancel"); isCancellation {
		return userRoute("POST", protocol.OpCancel, ref, nil)
	}
	return userRoute("GET", protocol.OpQuery, path, nil)
}

// rolloutRoute returns the route of a request about the roll-out of a service, by the path after that
// of all roll-outs, or nil if it is unknown.
func rolloutRoute(path string) *route {
	service, action, _ := strings.Cut(path, "/")
	op, known := rolloutActions[action]
	switch {
	case !known:
		return nil
	case action == "":
		return userRoute("GET", op, service, nil)
	}
	return userRoute("POST", op, service, nil)
}
