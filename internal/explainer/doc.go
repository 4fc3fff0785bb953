// Package explainer finds the story of one request in the logs of all hosts.
package explainer
