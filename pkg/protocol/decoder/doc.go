// Package decoder decodes untrusted JSON: bodies of bounded size, and documents
// with comments, whose errors carry their line and column.
package decoder
