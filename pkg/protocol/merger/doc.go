// Package merger merges the rows of several shards and keeps the greatest ones.
package merger
