package registrar

import (
	"context"
	"errors"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// watcher follows the configuration.
type watcher struct {
	registrar *Registrar
	version   uint64 // of the store; 0 before the first read
	failures  int
	lost      time.Time
}

// run follows the configuration until the context is done.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		w.note(err)
		if err != nil {
			w.registrar.pause(ctx, w.failures)
		}
	}
}

// note logs when the store is lost and when it is back.
func (w *watcher) note(err error) {
	g := w.registrar
	switch {
	case errors.Is(err, ErrHistory):
		g.Log.Info("history of the store is gone", "version", w.version)
		w.version = 0
	case err != nil:
		if w.failures == 0 {
			w.lost = g.Clock.Now()
			g.Log.Info("store lost", "error", err.Error(), "version", w.version)
		}
		w.failures++
		w.version = 0 // changes may have been dropped meanwhile
	case w.failures > 0:
		g.Log.Info("store regained", "after", g.Clock.Since(w.lost).String(), "version", w.version)
		w.failures = 0
	}
}

// follow makes one call.
func (w *watcher) follow(ctx context.Context) error {
	var config *router.Config
	var version uint64
	var err error
	if w.version == 0 {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		config, version, err = w.registrar.Table.Config(ctx)
	} else {
		ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
		defer cancel()
		config, version, err = w.registrar.Table.Watch(ctx, w.version, watchWait)
	}
	if err != nil {
		return err
	}
	w.version = version
	if config != nil {
		w.registrar.Sink.Put(router.Adopt{Config: config})
	}
	return nil
}
