package router

import "slices"

// progressFor returns the progress that is not reported yet to the host of a job's client.
func (r *Router) progressFor(origin string) *Progress {
	progress := r.unreported[origin]
	if progress == nil {
		progress = &Progress{}
		r.unreported[origin] = progress
	}
	return progress
}

// sendProgress reports finished tasks and crashes of targets to the hosts of the jobs' clients.
func (r *Router) sendProgress() {
	for _, address := range sortedKeys(r.unreported) {
		if address == r.Self.Address {
			r.handleProgress(r.unreported[address], address)
		} else if p := r.peers[address]; p != nil {
			r.send(p, Message{Progress: r.unreported[address]})
		}
	}
	clear(r.unreported)
}

// handleProgress records finished tasks of this host's requests, and crashes of targets that the
// host with an address has recorded.
func (r *Router) handleProgress(progress *Progress, source string) {
	r.mergeCrashes(progress.Crashes, progress.Acquittals, source)
	for _, m := range progress.Tasks {
		if q := r.requestsByJob[m.ID]; q != nil {
			q.hasDoneTask = true
			if !slices.Contains(q.doneTasks, m.Task) {
				q.doneTasks = append(q.doneTasks, m.Task)
			}
		}
	}
}
