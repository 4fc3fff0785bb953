// Package explainer finds the lines of one request in the logs of all hosts, and
// summarizes the causes of refused requests and incomplete answers.
package explainer
