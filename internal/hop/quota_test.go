package hop

import (
	"context"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// TestQuotaRequestIsAnswered guards against messages of quotas that are not passed to
// the handler with the peer's name, or whose reply does not reach the sender.
func TestQuotaRequestIsAnswered(t *testing.T) {
	_, _, client, _ := startPair(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reply, err := client.AskQuota(ctx, &hopv1.QuotaRequest{Customer: "c", Tokens: 4})
	if err != nil || reply.Tokens != 5 || reply.Declined {
		t.Errorf("reply %v, error %v", reply, err)
	}
}
