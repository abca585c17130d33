package main

// #include <unistd.h>
import "C" // the platform only runs programs that are linked against the C library

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"text/tabwriter"

	"github.com/jonboulle/clockwork"

	"github.com/shallotrouter/shallotrouter/internal/assembler"
	"github.com/shallotrouter/shallotrouter/internal/clocker"
	"github.com/shallotrouter/shallotrouter/internal/loader"
	"github.com/shallotrouter/shallotrouter/internal/logger"
	"github.com/shallotrouter/shallotrouter/internal/meter"
	"github.com/shallotrouter/shallotrouter/internal/parser"
)

// gcPercent is the growth of the heap, in percent, that starts a garbage collection. It
// exceeds Go's default because a collection delays requests on a small processor share,
// and the live heap is only a few MB.
const gcPercent = 200

// memoryLimitPercent is the part of the host's memory, in percent, above which garbage is
// collected more often. The rest is for the program itself, about 15 MB, and for the kernel's
// buffers of connections.
const memoryLimitPercent = 65

// runNode runs an entry host on a platform of leased targets and returns the exit code.
// If check is set, it only checks and prints the settings.
func runNode(path, text string, check bool) int {
	settings, err := loader.ParseNode(path, text)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if check {
		return printSettings(os.Stdout, settings.Values)
	}
	debug.SetGCPercent(gcPercent)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(settings.MemoryMB) << 20 * memoryLimitPercent / 100)
	}
	metrics := meter.NewHost()
	queue := &logger.Queue{Output: os.Stdout, MaxBytes: settings.LogBufferBytes, OnDrop: metrics.Omitted.Inc}
	queue.Init()
	writerContext, cancel := context.WithCancel(context.Background())
	defer cancel()
	go (&logWriter{queue: queue}).run(writerContext)
	defer queue.Flush()
	log := logger.New(queue, settings.Verbosity).WithValues("host", settings.Name)
	for _, s := range settings.Values {
		log.Info("setting", "section", s.Section, "key", s.Key, "value", s.Value, "origin", s.Origin())
	}
	n := &assembler.Node{Settings: settings, Clock: clocker.NewBootClock(clockwork.NewRealClock()), Log: log, Meter: metrics}
	n.Init()
	shutDownOnSignals(n)
	checker := &settingsChecker{path: path, signals: make(chan os.Signal, 1)}
	signal.Notify(checker.signals, syscall.SIGHUP)
	go checker.run(log.WithName("settings"))
	if err := n.Run(context.Background()); err != nil {
		log.Error(err, "daemon failed")
		return exitFailed
	}
	return 0
}

// printSettings prints the effective values and where each comes from.
func printSettings(out io.Writer, settings []parser.Setting) int {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SECTION\tKEY\tVALUE\tORIGIN")
	for _, s := range settings {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", s.Section, s.Key, s.Value, s.Origin())
	}
	fmt.Fprintln(w, "settings are good")
	if err := w.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// logWriter writes the queued log lines.
type logWriter struct{ queue *logger.Queue }

func (w *logWriter) run(ctx context.Context) { w.queue.Run(ctx) }
