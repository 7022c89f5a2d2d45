package membership

import (
	"testing"
	"time"
)

func TestAllMeetFromOneSeed(t *testing.T) {
	n := newNetwork(t, 1)
	n.dataCentres(8, "dc-a", "dc-b", "dc-c")
	took := n.until(60*time.Second, "all know all", n.whole)
	t.Logf("24 instances know each other after %v", took)
}
