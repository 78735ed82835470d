package rollout

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"text/template"
	"text/template/parse"

	"mapleslip/internal/protocol"
)

// InstanceData is the data available to address templates. Apart from the IP address of the host,
// it contains only what an instance can determine itself.
type InstanceData struct {
	IP      string // IP address of the host
	Job     string // name of the instance's job
	Number  uint64 // number in the name of the job, see the function Number
	Index   int    // index of the task in the job
	Attempt uint64 // number of the attempt of the task
	Service string
	Version string
}

var templateFuncs = template.FuncMap{
	"add": func(a, b any) (int64, error) { return applyInt64(a, b, func(x, y int64) int64 { return x + y }) },
	"mul": func(a, b any) (int64, error) { return applyInt64(a, b, func(x, y int64) int64 { return x * y }) },
	"mod": func(a, b any) (int64, error) {
		if n, err := toInt64(b); err != nil || n <= 0 {
			return 0, errors.New("mod needs a positive number")
		}
		return applyInt64(a, b, func(x, y int64) int64 { return x % y })
	},
}

func toInt64(v any) (int64, error) {
	switch n := v.(type) {
	case int:
		return int64(n), nil
	case int64:
		return n, nil
	case uint64:
		return int64(n), nil
	}
	return 0, fmt.Errorf("%v is no number", v)
}

func applyInt64(a, b any, operation func(x, y int64) int64) (int64, error) {
	x, err := toInt64(a)
	y, err2 := toInt64(b)
	return operation(x, y), errors.Join(err, err2)
}

// compileTemplate parses a template. It accepts only fields and the functions in templateFuncs: a
// loop, or a template that calls another one, could block the leader.
func compileTemplate(name, text string) (*template.Template, error) {
	t, err := template.New(name).Funcs(templateFuncs).Option("missingkey=error").Parse(text)
	if err != nil {
		return nil, errors.New(strings.TrimPrefix(err.Error(), "template: "))
	}
	if len(t.Templates()) > 1 {
		return nil, fmt.Errorf("%s: no other templates may be defined", name)
	}
	for _, n := range t.Root.Nodes {
		switch n := n.(type) {
		case *parse.TextNode:
		case *parse.ActionNode:
			if err := checkPipe(n.Pipe); err != nil {
				return nil, fmt.Errorf("%s: %w", name, err)
			}
		default:
			return nil, fmt.Errorf("%s: only {{.Field}} and add, mul, mod may be used, not %s", name, n)
		}
	}
	return t, nil
}

// checkPipe returns an error if an action contains anything but fields, numbers and the functions
// in templateFuncs.
func checkPipe(p *parse.PipeNode) error {
	if len(p.Decl) > 0 {
		return errors.New("no variables may be declared")
	}
	for _, command := range p.Cmds {
		for _, arg := range command.Args {
			switch a := arg.(type) {
			case *parse.FieldNode, *parse.NumberNode:
			case *parse.IdentifierNode:
				if templateFuncs[a.Ident] == nil {
					return fmt.Errorf("%s may not be used", a.Ident)
				}
			case *parse.PipeNode:
				if err := checkPipe(a); err != nil {
					return err
				}
			default:
				return fmt.Errorf("%s may not be used", arg)
			}
		}
	}
	return nil
}

// checkTarget computes the addresses at which the instances of a version are checked.
type checkTarget struct {
	spec          *protocol.HealthCheck
	address, path *template.Template
}

// newCheckTarget compiles the templates of a health check and executes them once with sample data,
// to find errors early.
func newCheckTarget(h *protocol.HealthCheck) (*checkTarget, error) {
	t := &checkTarget{spec: h}
	var err error
	if t.address, err = compileTemplate("check.at", h.AddressTemplate); err != nil {
		return nil, err
	}
	if h.Kind == protocol.CheckHTTP {
		if t.path, err = compileTemplate("check.path", h.Path); err != nil {
			return nil, err
		}
	}
	if _, _, err := t.instanceAddress(InstanceData{IP: "127.0.0.1", Job: "req-000000", Service: "s", Version: "0"}); err != nil {
		return nil, err
	}
	return t, nil
}

// instanceAddress returns the address and the path at which an instance is checked. The address
// must be on the host of the instance, so that checks can't be used to reach other hosts.
func (t *checkTarget) instanceAddress(data InstanceData) (addr, path string, err error) {
	execute := func(tmpl *template.Template) string {
		var b bytes.Buffer
		if execErr := tmpl.Execute(&b, data); execErr != nil && err == nil {
			err = errors.New(strings.TrimPrefix(execErr.Error(), "template: "))
		}
		return b.String()
	}
	addr = execute(t.address)
	if t.path != nil {
		path = execute(t.path)
	}
	if err != nil {
		return "", "", err
	}
	host, port, splitErr := net.SplitHostPort(addr)
	if n, portErr := strconv.Atoi(port); splitErr != nil || portErr != nil || n < 1 || n > 65535 {
		return "", "", fmt.Errorf("check.at: %q is not IP:port", addr)
	}
	if host != data.IP {
		return "", "", fmt.Errorf("check.at: %q is not on the instance's machine %s: begin it with {{.IP}}", addr, data.IP)
	}
	isInvalid := func(c rune) bool { return c <= ' ' || c >= 0x7f }
	if t.path != nil && (!strings.HasPrefix(path, "/") || len(path) > 1000 || strings.ContainsFunc(path, isInvalid)) {
		return "", "", fmt.Errorf("check.path: %q is no path", path)
	}
	return addr, path, nil
}

// Number returns the number in the name of a job, or its last 18 digits if there are more. An
// instance can compute it from the name of its job too.
func Number(ref string) uint64 {
	digits := strings.TrimPrefix(ref, "req-")
	n, _ := strconv.ParseUint(digits[max(0, len(digits)-18):], 10, 64)
	return n
}
