package router

// packing tells how well tasks fill the usable targets of the cells that a host holds.
type packing struct {
	used, total int // CPU of the runs and of the targets, in thousandths of a core
	// fragmented is the CPU that is free at targets where no waiting task of their service fits, while
	// tasks wait, in thousandths of a core.
	fragmented int
}

// packing returns how well tasks fill the usable targets.
func (r *Router) packing() packing {
	smallest := make(map[string]Resources) // smallest needs of the tasks that wait, by service
	for _, j := range r.queue.Items() {
		if r.cannotStartYet(j) {
			continue
		}
		need, ok := smallest[j.spec.Service]
		if !ok {
			need = j.spec.Need
		}
		smallest[j.spec.Service] = Resources{CPU: min(need.CPU, j.spec.Need.CPU), Memory: min(need.Memory, j.spec.Need.Memory), GPU: min(need.GPU, j.spec.Need.GPU)}
	}
	var p packing
	for _, t := range r.sortedTargets {
		if !r.isUsable(t) {
			continue
		}
		p.used += min(t.used.CPU, t.Capacity.CPU)
		p.total += t.Capacity.CPU
		if need, waits := smallest[t.Service]; waits && !r.hasRoomFor(t, need) {
			p.fragmented += max(t.Capacity.CPU-t.used.CPU, 0)
		}
	}
	return p
}
