// Package sequencer decides which callers' requests a host admits, and in which order, while it
// has more of them than it has room for.
//
// Work is counted in sub-requests. As long as the work that is admitted and not finished is below
// a limit, each request passes at once and nothing is recorded of it but its work. Beyond that,
// requests wait: more urgent ones are admitted first, those of one rank by fair shares of work
// among the organisations. A request that can't end in time in that order is refused, which makes
// room for the less urgent ones last.
package sequencer
