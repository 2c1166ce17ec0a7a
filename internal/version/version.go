// Package version holds the version of the programs in this module.
package version

// Version is the semantic version that the programs report.
const Version = "0.2.0"
