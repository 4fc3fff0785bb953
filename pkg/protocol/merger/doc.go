// Package merger merges the rows of several shards into the greatest ones.
package merger
