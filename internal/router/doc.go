// Package router contains the logic of an entry host as a deterministic state machine.
//
// Hosts and targets. An entry host is a process that accepts jobs from clients. A job
// consists of one or more equal tasks that run side by side. Tasks run at targets,
// which the platform lists in its directory. One start of a task at a target is a run;
// each further start of the task is a run with a higher number. A target runs tasks
// under a lease: it ends its runs when the lease expires without renewal.
//
// Cells and holders. The targets of an availability zone form a cell. One host at a
// time, the holder, decides what runs in a cell. A host becomes the holder by a claim,
// a row in the platform's store that names the zone, the holder and a fencing token.
// The claim with the highest token is the current one, and a target that has seen a
// token rejects orders with a lower one. While one host can manage all targets, it
// holds every cell and places tasks in all of them; otherwise each zone has a holder of
// its own.
//
// Jobs. A host offers its clients' jobs to the holder of its own zone's cell. The
// holder queues or refuses each job, and it manages the targets by orders: Start begins
// a run, Stop ends a run, and Renew extends the lease and returns the run list.
// When a job has ended, the holder sends the verdict, the final result, to the job's
// host, which answers the client.
//
// Failures. Hosts monitor each other by heartbeats, which also carry the claims. When
// the holder stops responding, the next host in an order that all hosts agree on claims
// the cell. The other hosts offer it their jobs again, and it adopts the runs that are
// still under way.
//
// Hosts see each other as members and peers. A member is one incarnation of an entry
// host, as the store and the claims name it; a peer is another host with the state that
// this host has of it. The origin of a job is the host that received it from its
// client; there, the open job is a request. In the code of this package, r is the
// router, c a cell, j a job, k a task, n a run, t a target, p a peer and q a request.
//
// Router.Step applies one event and returns effects as data. The package performs no
// input or output and does not read the clock.
package router
