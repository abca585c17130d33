package main

import (
	"os"

	"github.com/go-logr/logr"

	"github.com/shallotrouter/shallotrouter/internal/loader"
)

// reloader answers SIGHUP. Settings take effect at a start only, so it checks
// the file and tells whether it has faults; the daemon serves on.
type reloader struct {
	path    string
	hangups chan os.Signal
}

func (h *reloader) run(log logr.Logger) {
	for range h.hangups {
		text, err := os.ReadFile(h.path)
		if err != nil {
			log.Error(err, "settings not read", "path", h.path)
			continue
		}
		if _, err := loader.ParseNode(h.path, string(text)); err != nil {
			log.Error(err, "settings have faults; the next start would fail", "path", h.path)
			continue
		}
		log.Info("reload", "path", h.path, "outcome", "settings are good; they take effect at the next start")
	}
}
