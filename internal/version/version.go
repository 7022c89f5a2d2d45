// Package version identifies the release and the commit that a program was built
// from.
package version

import "runtime/debug"

// Release is the name of the release. Release builds set it with
// -ldflags "-X godwitmount/internal/version.Release=1.2.3".
var Release = "dev"

// revisionLength is the number of hexadecimal digits of the commit that are
// shown.
const revisionLength = 12

// Info describes the build of a program.
type Info struct {
	Release string `json:"release"`
	// Revision is the start of the commit's hash. It is empty if the build did not
	// record it, for example outside a repository.
	Revision string `json:"revision,omitempty"`
	// Modified is set if the work tree differed from the commit.
	Modified bool `json:"modified,omitempty"`
	// Go is the version of the Go toolchain.
	Go string `json:"go"`
}

// Get describes the build of the running program. Where Go has recorded no build
// information, only Release is set.
func Get() Info {
	info := Info{Release: Release}
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return info
	}
	info.Go = build.GoVersion
	for _, setting := range build.Settings {
		switch setting.Key {
		case "vcs.revision":
			info.Revision = setting.Value[:min(revisionLength, len(setting.Value))]
		case "vcs.modified":
			info.Modified = setting.Value == "true"
		}
	}
	return info
}

// String returns the release and, if known, the commit.
func (i Info) String() string {
	text := i.Release
	if i.Revision != "" {
		text += " (" + i.Revision
		if i.Modified {
			text += ", modified"
		}
		text += ")"
	}
	return text
}
