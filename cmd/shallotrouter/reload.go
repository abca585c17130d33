package main

import (
	"os"

	"github.com/go-logr/logr"

	"github.com/shallotrouter/shallotrouter/internal/loader"
)

// settingsChecker checks the settings file on each SIGHUP and logs whether it has faults.
// The running daemon keeps its settings: a change takes effect only at the next start.
type settingsChecker struct {
	path    string
	signals chan os.Signal
}

func (h *settingsChecker) run(log logr.Logger) {
	for range h.signals {
		text, err := os.ReadFile(h.path)
		if err != nil {
			log.Error(err, "cannot read the settings file; correct its path or permissions", "path", h.path)
			continue
		}
		if _, err := loader.ParseNode(h.path, string(text)); err != nil {
			log.Error(err, "the settings file has faults, so that the next start would fail; correct it", "path", h.path)
			continue
		}
		log.Info("reload", "path", h.path, "outcome", "the settings are valid and take effect at the next start")
	}
}
