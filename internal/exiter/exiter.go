package exiter

import (
	"os"
	"os/signal"
	"syscall"
)

// Code is the exit code of a process.
type Code int

// The exit codes.
const (
	OK          Code = 0
	Failed      Code = 1
	Usage       Code = 2
	Invalid     Code = 3
	Unreachable Code = 4
	Conflict    Code = 5
	NotFound    Code = 6
	PortInUse   Code = 7
	Unsettled   Code = 8
	Aborted     Code = 9
	Changed     Code = 10
)

// Definition describes one exit code.
type Definition struct {
	Code    Code
	Name    string
	Meaning string
}

// Table returns the definitions of all exit codes in ascending order.
func Table() []Definition {
	return []Definition{
		{OK, "ok", "Success; for config apply: nothing had to change, or a change was made without --detailed-exit."},
		{Failed, "failed", "The process failed."},
		{Usage, "usage", "The arguments are wrong."},
		{Invalid, "invalid", "Settings or a document are invalid."},
		{Unreachable, "unreachable", "The platform can't be reached; nothing was changed."},
		{Conflict, "conflict", "Another change was accepted first."},
		{NotFound, "notFound", "The configuration, revision or request was not found."},
		{PortInUse, "portInUse", "A listener could not be opened."},
		{Unsettled, "unsettled", "A change may have been accepted; apply it again to settle it."},
		{Aborted, "cutOff", "A stop has aborted requests; the last log line counts them."},
		{Changed, "changed", "config apply --detailed-exit: something changed."},
	}
}

// Signals are the signals that a process has received.
type Signals struct {
	// Stopped is closed at the first SIGTERM or SIGINT, StoppedAgain at the second.
	Stopped      <-chan struct{}
	StoppedAgain <-chan struct{}
	// Hangups has a value after SIGHUP. It is buffered, so that one that comes while nobody
	// receives isn't lost.
	Hangups <-chan os.Signal
}

// Notify catches SIGTERM, SIGINT and SIGHUP until the process ends. SIGHUP never has its
// default action from then on, which is to end the process at once.
func Notify() Signals {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	stops := make(chan os.Signal, 2)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	stopped, stoppedAgain := make(chan struct{}), make(chan struct{})
	go func() {
		<-stops
		close(stopped)
		<-stops
		close(stoppedAgain)
	}()
	return Signals{Stopped: stopped, StoppedAgain: stoppedAgain, Hangups: hangups}
}
