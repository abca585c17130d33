// Package shallotrouter is the client of the shallotrouter dispatcher.
//
// A caller takes a [Client.Tickets] block from any entry host and submits each
// [Job] under one ticket. The ticket makes a resubmission safe: whichever entry
// host receives it, the job starts at most once. An [Answer] has one of four
// outcomes, and only [Complete] carries results.
package shallotrouter
