// Package process runs the parts of a scale run. Each part is a process that reads messages of
// the supervisor from its standard input and writes its reports to its standard output, in the
// format of package wire.
package process

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"

	"mapleslip/internal/scale/fakes"
	"mapleslip/internal/scale/hollow"
	"mapleslip/internal/scale/relay"
	"mapleslip/internal/scale/users"
	"mapleslip/internal/scale/wire"
)

// Role runs a part until a Stop message, the end of its input or its latest end time. The first
// line of in is the Setup message, which ipc.Open reads; the part answers it with Ready.
type Role func(in io.Reader, out io.Writer, log *slog.Logger) error

var roles = map[string]Role{
	wire.RoleHollow:   hollow.Run,
	wire.RoleWorker:   hollow.RunOne,
	wire.RoleStandins: fakes.Run,
	wire.RoleRelay:    relay.Run,
	wire.RoleUsers:    users.Run,
}

// Part runs the part of a role. An unknown role is an error that names the known ones.
func Part(role string, in io.Reader, out io.Writer, log *slog.Logger) error {
	run := roles[role]
	if run == nil {
		return fmt.Errorf("unknown role %q: must be one of %s", role, strings.Join(slices.Sorted(maps.Keys(roles)), ", "))
	}
	return run(in, out, log)
}
