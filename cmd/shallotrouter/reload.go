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

func (c *settingsChecker) run(log logr.Logger) {
	for range c.signals {
		text, err := os.ReadFile(c.path)
		if err != nil {
			log.Error(err, "cannot read the settings file; correct its path or permissions", "path", c.path)
			continue
		}
		if _, err := loader.ParseNode(c.path, string(text)); err != nil {
			log.Error(err, "the settings file has faults, so that the next start would fail; correct it", "path", c.path)
			continue
		}
		log.Info("reload", "path", c.path, "outcome", "settings are good; they take effect at the next start")
	}
}
