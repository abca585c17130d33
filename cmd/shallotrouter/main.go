// Command shallotrouter is the daemon that runs on every entry host.
//
//	shallotrouter [-config FILE.ini]
//
// Without -config it reads the settings file that the environment variable
// SHALLOTROUTER_NODE_FILE names. If the file has a [node] section, the daemon runs
// internal/router on a platform of leased targets, else internal/scheduler.
//
// It exits with 0 after a graceful shutdown, 1 if it fails while it runs and 2 if its
// settings are wrong. SIGTERM or SIGINT starts a graceful shutdown; a second signal stops
// the daemon at once.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jonboulle/clockwork"

	"github.com/shallotrouter/shallotrouter/internal/assembler"
	"github.com/shallotrouter/shallotrouter/internal/loader"
	"github.com/shallotrouter/shallotrouter/internal/logger"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run()) }

// run reads the command line and the settings, serves, and returns the exit code.
func run() int {
	path := flag.String("config", os.Getenv("SHALLOTROUTER_NODE_FILE"), "the settings `file`")
	version := flag.Bool("version", false, "print the version and exit")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	if *version {
		fmt.Println("shallotrouter", buildVersion())
		return 0
	}
	if text, err := os.ReadFile(*path); err == nil && loader.IsNode(string(text)) {
		return runNode(*path, string(text), *check)
	}
	settings, err := loader.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if *check {
		fmt.Println("settings are good")
		return 0
	}
	return serve(settings, nil)
}

// serve runs the daemon until it has shut down and returns the exit code. If the listener
// is nil, the daemon listens on the address in the settings.
func serve(settings *loader.Settings, listener net.Listener) int {
	log := logger.New(os.Stderr, settings.Verbosity)
	d := &assembler.Daemon{Settings: settings, Clock: clockwork.NewRealClock(), Log: log, Listener: listener}
	d.Init()
	shutDownOnSignals(d)
	if err := d.Run(context.Background()); err != nil {
		log.Error(err, "daemon failed")
		return exitFailed
	}
	return 0
}

// stopper is a daemon that can be shut down: gracefully by Drain, at once by Stop.
type stopper interface {
	Drain()
	Stop()
}

// shutDownOnSignals shuts the daemon down on SIGTERM or SIGINT.
func shutDownOnSignals(daemon stopper) {
	h := &signalHandler{daemon: daemon, signals: make(chan os.Signal, 2)}
	signal.Notify(h.signals, syscall.SIGTERM, syscall.SIGINT)
	go h.run()
}

// signalHandler shuts a daemon down on signals.
type signalHandler struct {
	daemon  stopper
	signals chan os.Signal
}

// run drains on the first signal and stops on the second.
func (h *signalHandler) run() {
	<-h.signals
	h.daemon.Drain()
	<-h.signals
	h.daemon.Stop()
}

// buildVersion returns the module's version from the build information.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
