// Package version tells which release a program was built from.
package version

import "runtime/debug"

// Release is the release's name. It is set when a release is built, with
// -ldflags "-X godwitmount/internal/version.Release=1.2.3".
var Release = "dev"

// revisionLength is how many digits of the commit are shown.
const revisionLength = 12

// Info is what a program says of its build.
type Info struct {
	Release string `json:"release"`
	// Revision is the commit, or empty outside a repository.
	Revision string `json:"revision,omitempty"`
	// Modified tells that the tree differed from the commit.
	Modified bool   `json:"modified,omitempty"`
	Go       string `json:"go"`
}

// Get returns the running program's build.
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

// String returns the release and, when known, the commit.
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
