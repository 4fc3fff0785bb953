// Package presenter serves the web console for operators: forms to edit the
// document of a service, the revision in force on each host, and the history of
// changes.
package presenter
