package settings

import "testing"

func TestExampleSettingsAreValid(t *testing.T) {
	daemon, problems := Load("../../dist/godwitmountd.hujson")
	if problems != nil {
		t.Fatal(problems)
	}
	if got := daemon.InstanceID("192.0.2.11:7482"); got != "kendal-a/192.0.2.11:7482" {
		t.Errorf("instance id %q", got)
	}
}
