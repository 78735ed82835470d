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

// InstanceData is what the template of an address may use: where an instance is, and what
// the instance knows of itself as well.
type InstanceData struct {
	IP      string // of the machine
	Job     string // the batch's name
	Number  uint64 // its digits; of longer names the last 18
	Index   int    // of the task
	Attempt uint64 // of its start
	Service string
	Version string
}

var templateFuncs = template.FuncMap{
	"add": func(a, b any) (int64, error) { return arith(a, b, func(x, y int64) int64 { return x + y }) },
	"mul": func(a, b any) (int64, error) { return arith(a, b, func(x, y int64) int64 { return x * y }) },
	"mod": func(a, b any) (int64, error) {
		if n, err := whole(b); err != nil || n <= 0 {
			return 0, errors.New("mod needs a positive number")
		}
		return arith(a, b, func(x, y int64) int64 { return x % y })
	},
}

func whole(v any) (int64, error) {
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

func arith(a, b any, f func(x, y int64) int64) (int64, error) {
	x, err := whole(a)
	y, err2 := whole(b)
	return f(x, y), errors.Join(err, err2)
}

// compileTemplate reads a template. Only fields and the arithmetic are taken: a loop in a template,
// or one template that names another, could hold up the leader.
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

// checkPipe checks that an action is made of fields, numbers and the functions above.
func checkPipe(p *parse.PipeNode) error {
	if len(p.Decl) > 0 {
		return errors.New("no variables may be declared")
	}
	for _, c := range p.Cmds {
		for _, arg := range c.Args {
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

// target makes the addresses of a version's instances.
type target struct {
	spec          *protocol.HealthCheck
	address, path *template.Template
}

// newTarget compiles a check, and tries it.
func newTarget(h *protocol.HealthCheck) (*target, error) {
	t := &target{spec: h}
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

// instanceAddress makes an instance's address and path. The address has to be the machine's: a
// awaitHealthy is no way to reach others by.
func (t *target) instanceAddress(p InstanceData) (addr, path string, err error) {
	fill := func(tm *template.Template) string {
		var b bytes.Buffer
		if e := tm.Execute(&b, p); e != nil && err == nil {
			err = errors.New(strings.TrimPrefix(e.Error(), "template: "))
		}
		return b.String()
	}
	addr = fill(t.address)
	if t.path != nil {
		path = fill(t.path)
	}
	if err != nil {
		return "", "", err
	}
	host, port, e := net.SplitHostPort(addr)
	if n, e2 := strconv.Atoi(port); e != nil || e2 != nil || n < 1 || n > 65535 {
		return "", "", fmt.Errorf("check.at: %q is not IP:port", addr)
	}
	if host != p.IP {
		return "", "", fmt.Errorf("check.at: %q is not on the instance's machine %s: begin it with {{.IP}}", addr, p.IP)
	}
	odd := func(c rune) bool { return c <= ' ' || c >= 0x7f }
	if t.path != nil && (!strings.HasPrefix(path, "/") || len(path) > 1000 || strings.ContainsFunc(path, odd)) {
		return "", "", fmt.Errorf("check.path: %q is no path", path)
	}
	return addr, path, nil
}

// Number is what an instance can work out from its job's name too: its digits, of
// longer names the last 18.
func Number(ref string) uint64 {
	digits := strings.TrimPrefix(ref, "req-")
	n, _ := strconv.ParseUint(digits[max(0, len(digits)-18):], 10, 64)
	return n
}
