// Package signer encodes tickets as signed tokens (JWT), and verifies and decodes them.
package signer
