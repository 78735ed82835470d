package stepwatch

import (
	"bytes"
	"context"
	"runtime"
	"runtime/pprof"
	"slices"
	"strings"
	"syscall"
	"time"
)

// loopLabel is the profiler label of the goroutine that runs the event loop.
const loopLabel = "event_loop"

// modulePrefix is left out of the names of functions.
const modulePrefix = "mapleslip/internal/"

// maxPlaces is how many functions of the loop's stack are named, innermost first.
const maxPlaces = 8

// labelLoop marks the calling goroutine as the one that runs the event loop.
func labelLoop() {
	pprof.SetGoroutineLabels(pprof.WithLabels(context.Background(), pprof.Labels(loopLabel, "true")))
}

// place returns a function that returns the functions that the event loop is in, innermost first. loop is
// the function that runs the loop. The goroutine profile costs little, unlike the stacks of all
// goroutines as text.
func place(loop string) func() string {
	return func() string {
		var profile bytes.Buffer
		if err := pprof.Lookup("goroutine").WriteTo(&profile, 1); err != nil {
			return "unknown"
		}
		return placesOf(profile.String(), loop)
	}
}

// placesOf returns the functions of the event loop's goroutine in a goroutine profile. Goroutines that it
// has started have its label too. If the stack is so deep that the profile lacks its outer end, it is the
// deepest of those.
func placesOf(profile, loop string) string {
	var found []string
	for _, stack := range strings.Split(profile, "\n\n") {
		if !strings.Contains(stack, `"`+loopLabel+`":"true"`) {
			continue
		}
		functions := functionsOf(stack)
		if slices.Contains(functions, loop) {
			found = functions
			break
		}
		if len(functions) > len(found) {
			found = functions
		}
	}
	if len(found) == 0 {
		return "unknown"
	}
	found = slices.Compact(found) // calls of a function by itself
	return strings.Join(found[:min(len(found), maxPlaces)], " < ")
}

// functionsOf returns the functions of a stack in a goroutine profile, innermost first.
func functionsOf(stack string) (functions []string) {
	for _, line := range strings.Split(stack, "\n") {
		if function, isFrame := functionOf(line); isFrame {
			functions = append(functions, function)
		}
	}
	return functions
}

// callerOfNew returns the name of the function that has called New.
func callerOfNew() string {
	const callersAbove = 2 // callerOfNew and New
	counter, _, _, ok := runtime.Caller(callersAbove)
	if !ok {
		return ""
	}
	return strings.TrimPrefix(runtime.FuncForPC(counter).Name(), modulePrefix)
}

// functionOf returns the function of a frame in a goroutine profile, such as
// "#	0x4a	mapleslip/internal/protocol.ParseJob+0x3f	/src/user.go:217".
func functionOf(line string) (function string, isFrame bool) {
	fields := strings.Split(line, "\t")
	if len(fields) < 3 || fields[0] != "#" {
		return "", false
	}
	function, _, _ = strings.Cut(fields[2], "+0x")
	return strings.TrimPrefix(function, modulePrefix), true
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
