package router

import "slices"

// DirectoryChanges are the differences between two versions of the directory. A peer that has
// version From applies them instead of receiving the whole directory: 1,000 targets take
// 100 KB, and a change of one takes 100 bytes.
type DirectoryChanges struct {
	From    uint64   `cbor:"1,keyasint"`
	Version uint64   `cbor:"2,keyasint"`
	Total   int      `cbor:"3,keyasint"`
	Changed []Target `cbor:"4,keyasint,omitempty"`
	Removed []string `cbor:"5,keyasint,omitempty"` // IDs
}

// newDirectoryChanges returns the changes from one version of the directory to the next. Both
// are sorted by ID.
func newDirectoryChanges(from, to Directory) DirectoryChanges {
	changes := DirectoryChanges{From: from.Version, Version: to.Version, Total: to.Total}
	i := 0
	for _, t := range to.Targets {
		for ; i < len(from.Targets) && from.Targets[i].ID < t.ID; i++ {
			changes.Removed = append(changes.Removed, from.Targets[i].ID)
		}
		if i < len(from.Targets) && from.Targets[i].ID == t.ID {
			if !t.isSame(from.Targets[i]) {
				changes.Changed = append(changes.Changed, t)
			}
			i++
			continue
		}
		changes.Changed = append(changes.Changed, t)
	}
	for ; i < len(from.Targets); i++ {
		changes.Removed = append(changes.Removed, from.Targets[i].ID)
	}
	return changes
}

// then returns the changes of c followed by those of next.
func (c DirectoryChanges) then(next DirectoryChanges) DirectoryChanges {
	merged := DirectoryChanges{From: c.From, Version: next.Version, Total: next.Total}
	isReplaced := func(id string) bool {
		return slices.Contains(next.Removed, id) || slices.ContainsFunc(next.Changed, func(t Target) bool { return t.ID == id })
	}
	for _, t := range c.Changed {
		if !isReplaced(t.ID) {
			merged.Changed = append(merged.Changed, t)
		}
	}
	for _, id := range c.Removed {
		if !isReplaced(id) {
			merged.Removed = append(merged.Removed, id)
		}
	}
	merged.Changed = append(merged.Changed, next.Changed...)
	merged.Removed = append(merged.Removed, next.Removed...)
	return merged
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

// directoryLog retains the changes between the last versions of the directory, oldest first.
type directoryLog []DirectoryChanges

// maxDirectoryLog is the number of versions whose changes are retained. At a change in each
// read they cover 45 s.
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
	return append(l, newDirectoryChanges(from, to))
}

// since returns the changes from a version to the newest one, and false if they are not known.
func (l directoryLog) since(version uint64) (DirectoryChanges, bool) {
	first := slices.IndexFunc(l, func(c DirectoryChanges) bool { return c.From == version })
	if version == 0 || first < 0 {
		return DirectoryChanges{}, false
	}
	changes := l[first]
	for _, next := range l[first+1:] {
		changes = changes.then(next)
	}
	return changes, true
}

// directoryMessage returns the message that brings a peer with a version of the directory up
// to date: the changes since that version if they are known and smaller, else the directory.
func (r *Router) directoryMessage(version uint64) Message {
	changes, known := r.directoryLog.since(version)
	if known && len(changes.Changed)+len(changes.Removed) < len(r.directory.Targets) {
		return Message{DirectoryChanges: &changes}
	}
	d := r.directory
	return Message{Directory: &d}
}

// handleDirectoryChanges applies the changes of the directory that a peer has read, if they
// start from this host's version.
func (r *Router) handleDirectoryChanges(p *peer, c DirectoryChanges) {
	if c.From != r.directory.Version || c.Version <= r.directory.Version || !r.sharesCells(p.member.Zone) {
		return
	}
	r.handleDirectory(p, r.directory.apply(c))
}
