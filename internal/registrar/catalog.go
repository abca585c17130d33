package registrar

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// DirectoryEntry is the newest state of one entry of the list of targets.
type DirectoryEntry struct {
	Key    string
	Target router.Target
	// Removed means that the list no longer has the entry, or that the entry cannot be
	// decoded.
	Removed bool
}

// directoryCache is the list of targets as it was last read. After the first read it
// reads only the changes, as long as these arrive in time, because a holder reads the list
// about once a second.
type directoryCache struct {
	mutex   sync.Mutex
	targets map[string]router.Target // by the key of the entry
	version uint64                   // version of the store at the last read; 0 before the first
	// tooSlow is set if the last read was of changes that did not arrive in time. The next read is
	// of the whole list then, since the changes take longer the more there are.
	tooSlow bool
}

// read updates the cache and returns the whole list.
func (c *directoryCache) read(ctx context.Context, table Store) (router.Directory, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	err := ErrChangesLost
	if c.version > 0 && !c.tooSlow {
		err = c.readChanges(ctx, table)
	}
	c.tooSlow = errors.Is(err, context.DeadlineExceeded)
	if errors.Is(err, ErrChangesLost) {
		err = c.readAll(ctx, table)
	}
	if err != nil {
		return router.Directory{}, err
	}
	return router.Directory{Version: c.version, Targets: slices.Collect(maps.Values(c.targets))}, nil
}

// readChanges reads the changes since the last read.
func (c *directoryCache) readChanges(ctx context.Context, table Store) error {
	changes, version, err := table.TargetChanges(ctx, c.version)
	if err != nil {
		return err
	}
	c.apply(changes)
	c.version = max(c.version, version)
	return nil
}

// readAll reads the whole list.
func (c *directoryCache) readAll(ctx context.Context, table Store) error {
	entries, version, err := table.Targets(ctx)
	if err != nil {
		return err
	}
	c.targets = make(map[string]router.Target, len(entries))
	c.apply(entries)
	c.version = version
	return nil
}

func (c *directoryCache) apply(entries []DirectoryEntry) {
	for _, e := range entries {
		if e.Removed {
			delete(c.targets, e.Key)
		} else {
			c.targets[e.Key] = e.Target
		}
	}
}
