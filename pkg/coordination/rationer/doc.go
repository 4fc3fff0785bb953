// Package rationer keeps all hosts together to the quotas of organisations, without a counter
// that they share.
//
// Each failure domain has a part of each quota, for which one of its hosts keeps a bucket of
// tokens, each of which admits one request. The hosts of the domain ask it for tokens; where
// its bucket is empty, it borrows tokens of other domains, which take them out of their buckets
// first. So a domain that is cut off has its own part and no more. A Purse is the asking side,
// of which each host has one, a Rationer has the buckets that a host keeps.
package rationer
