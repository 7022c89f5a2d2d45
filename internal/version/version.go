// Package version holds the release number shared by all commands.
package version

// Number is the release of every command in this repository.
const Number = "0.1.0"
