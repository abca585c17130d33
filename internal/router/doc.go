// Package router is the reducer of an entry host on a platform of leased targets.
//
// Every host takes jobs from clients. The targets of an availability zone form a
// cell, which one host at a time holds. Jobs go to the holder of the zone's cell;
// as long as one host can carry them all, it holds every cell and decides over one
// pool. The holder queues and refuses jobs, places their tasks, keeps the targets'
// leases and tells the jobs' hosts how they ended.
//
// Step takes one event and returns effects as data. It does no input or output.
package router
