// Package untrusted runs a daemon as a separate process against callers that send more than it can hold, send requests that
// never end, or do not read their responses. It checks that the process lives within its memory and descriptors and
// serves an ordinary request meanwhile.
//
// # Usage
//
//	go test ./soak/untrusted
//	go test ./soak/untrusted -run TestPipelinedRequests -v # logs the memory that was used
package untrusted
