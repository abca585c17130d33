package main

import (
	"fmt"
	"time"
)

// background sends small jobs to some daemons in turn.
type background struct {
	site    *site
	daemons []*daemon
	prefix  string
	rate    int // jobs a second
	length  time.Duration
}

func (b *background) run() {
	pause := time.Second / time.Duration(b.rate)
	for i := range int(b.length / pause) {
		j := job{id: fmt.Sprintf("b%015x", i), prefix: b.prefix, tasks: 2, cpu: wholeCPU / 2, length: 60 * time.Millisecond, budget: 1500 * time.Millisecond}
		b.site.submit(b.daemons[i%len(b.daemons)], j)
		time.Sleep(pause)
	}
}
