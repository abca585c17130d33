// Package shallotrouter is the client of the shallotrouter dispatcher.
//
// A client gets a block of tickets from any entry host with [Client.Tickets] and
// submits each [Job] under its own ticket. The ticket makes it safe to submit the
// job again, to any entry host: the job starts at most once. An [Answer] has one
// of four outcomes; only [Complete] comes with results.
package shallotrouter
