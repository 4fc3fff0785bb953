// Package logger writes structured log lines of numbered events.
package logger
