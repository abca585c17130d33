package router

import (
	"cmp"
	"slices"
)

// DirectoryChanges are the differences between two versions of the directory. A peer that has
// version From applies them instead of receiving the whole directory.
type DirectoryChanges struct {
	From    uint64   `cbor:"1,keyasint"`
	Version uint64   `cbor:"2,keyasint"`
	Total   int      `cbor:"3,keyasint"`
	Changed []Target `cbor:"4,keyasint,omitempty"`
	Removed []string `cbor:"5,keyasint,omitempty"` // IDs
}

// changedIDs returns the IDs of the targets whose entries differ between two versions of the
// directory. Both are sorted by ID.
func changedIDs(from, to Directory) []string {
	var ids []string
	i := 0
	for _, t := range to.Targets {
		for ; i < len(from.Targets) && from.Targets[i].ID < t.ID; i++ {
			ids = append(ids, from.Targets[i].ID)
		}
		switch {
		case i == len(from.Targets) || from.Targets[i].ID != t.ID:
			ids = append(ids, t.ID)
			continue
		case !t.isSame(from.Targets[i]):
			ids = append(ids, t.ID)
		}
		i++
	}
	for ; i < len(from.Targets); i++ {
		ids = append(ids, from.Targets[i].ID)
	}
	return ids
}

// find returns the entry of a target.
func (d Directory) find(id string) (Target, bool) {
	i, found := slices.BinarySearchFunc(d.Targets, id, func(t Target, id string) int { return cmp.Compare(t.ID, id) })
	if !found {
		return Target{}, false
	}
	return d.Targets[i], true
}

// apply returns the directory with the changes.
func (d Directory) apply(c DirectoryChanges) Directory {
	changed := make(map[string]bool, len(c.Changed)+len(c.Removed))
	for _, t := range c.Changed {
		changed[t.ID] = true
	}
	for _, id := range c.Removed {
		changed[id] = true
	}
	targets := slices.DeleteFunc(slices.Clone(d.Targets), func(t Target) bool { return changed[t.ID] })
	return Directory{Version: c.Version, Total: c.Total, Targets: append(targets, c.Changed...)}
}

// directoryLog lists, for the last versions of the directory, the targets that changed between
// a version and the next, oldest first.
type directoryLog []directoryStep

type directoryStep struct {
	from uint64
	ids  []string
}

// maxDirectoryLog is the number of versions whose changes are retained. At a change in each
// read, every Bounds.DirectoryInterval, they cover 45 s.
const maxDirectoryLog = 64

// add retains the changes to a new version. A version with retained targets does not identify
// its list, so that no changes lead to it or from it.
func (l directoryLog) add(from, to Directory) directoryLog {
	switch {
	case from.merged || to.merged:
		return nil
	case from.Version == 0:
		return l
	case len(l) == maxDirectoryLog:
		l = slices.Delete(l, 0, 1)
	}
	return append(l, directoryStep{from: from.Version, ids: changedIDs(from, to)})
}

// since returns the changes from a version to the current directory, and false if they are not
// known.
func (l directoryLog) since(version uint64, current Directory) (DirectoryChanges, bool) {
	first := slices.IndexFunc(l, func(s directoryStep) bool { return s.from == version })
	if version == 0 || first < 0 {
		return DirectoryChanges{}, false
	}
	changes := DirectoryChanges{From: version, Version: current.Version, Total: current.Total}
	seen := make(map[string]bool)
	for _, step := range l[first:] {
		for _, id := range step.ids {
			if seen[id] {
				continue
			}
			seen[id] = true
			if t, listed := current.find(id); listed {
				changes.Changed = append(changes.Changed, t)
			} else {
				changes.Removed = append(changes.Removed, id)
			}
		}
	}
	return changes, true
}

// directoryMessage returns the message that brings a peer with a version of the directory up
// to date: the changes since that version if they are known and smaller, else the directory.
// The message is the same for all peers with the version.
func (r *Router) directoryMessage(version uint64) Message {
	if m, ok := r.directoryMessages[version]; ok {
		return m
	}
	d := r.directory
	m := Message{Directory: &d}
	changes, known := r.directoryLog.since(version, d)
	if known && len(changes.Changed)+len(changes.Removed) < len(d.Targets) {
		m = Message{DirectoryChanges: &changes}
	}
	if r.directoryMessages == nil {
		r.directoryMessages = make(map[uint64]Message)
	}
	r.directoryMessages[version] = m
	return m
}

// handleDirectoryChanges applies the changes of the directory that a peer has read, if they
// start from this host's version.
func (r *Router) handleDirectoryChanges(p *peer, c DirectoryChanges) {
	if c.From != r.directory.Version || c.Version <= r.directory.Version || !r.sharesCells(p.member.Zone) {
		return
	}
	r.handleDirectory(p, r.directory.apply(c))
}
