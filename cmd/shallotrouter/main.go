// Command shallotrouter is the daemon that runs on every entry host.
//
//	shallotrouter [-config FILE.ini]
//
// Without -config it takes the file that SHALLOTROUTER_NODE_FILE names. A file
// with a [node] section makes it an entry host on the users' platform.
//
// It exits with 0 after a graceful shutdown, 1 when it fails while running and
// 2 when its settings are wrong. SIGTERM and SIGINT begin a graceful shutdown; a
// second signal ends it at once.
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

func main() { os.Exit(start()) }

// start reads the command line and the settings, then serves.
func start() int {
	path := flag.String("config", os.Getenv("SHALLOTROUTER_NODE_FILE"), "the settings `file`")
	version := flag.Bool("version", false, "print the version and exit")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	if *version {
		fmt.Println("shallotrouter", buildVersion())
		return 0
	}
	if text, err := os.ReadFile(*path); err == nil && loader.IsNode(string(text)) {
		return startNode(*path, string(text), *check)
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

// serve runs the daemon until it has shut down. A nil listener opens the address
// of the settings.
func serve(settings *loader.Settings, listener net.Listener) int {
	log := logger.New(os.Stderr, settings.Verbosity)
	d := &assembler.Daemon{Settings: settings, Clock: clockwork.NewRealClock(), Log: log, Listener: listener}
	d.Init()
	watch(d)
	if err := d.Run(context.Background()); err != nil {
		log.Error(err, "daemon failed")
		return exitFailed
	}
	return 0
}

// stopper is a daemon that can be shut down.
type stopper interface {
	Drain()
	Stop()
}

// watch shuts the daemon down on signals.
func watch(daemon stopper) {
	w := &watcher{daemon: daemon, signals: make(chan os.Signal, 2)}
	signal.Notify(w.signals, syscall.SIGTERM, syscall.SIGINT)
	go w.run()
}

// watcher turns signals into a shutdown.
type watcher struct {
	daemon  stopper
	signals chan os.Signal
}

// run drains on the first signal and stops on the second.
func (w *watcher) run() {
	<-w.signals
	w.daemon.Drain()
	<-w.signals
	w.daemon.Stop()
}

// buildVersion returns the module's version as the build noted it.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
