package membership

import (
	"errors"
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/proto"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/manifest"
)

// Bounds of what is taken from the network.
const (
	// MaxPacketBytes is the largest datagram sent or taken.
	MaxPacketBytes = 1400
	// MaxNameBytes bounds instance ids and the names of data centres, meshes
	// and services.
	MaxNameBytes = 64
	// MaxSlots bounds the slots an upstream may announce.
	MaxSlots = 1 << 16
	// MaxRecords bounds the member table; further instances are not taken in.
	MaxRecords = 16384
	// maxCounter bounds incarnations and sequences, so that they never wrap.
	maxCounter = 1 << 62
	// maxHashBytes bounds the hash of a fingerprint.
	maxHashBytes = 32
	// maxCrashIDs bounds the crashes one fingerprint names.
	maxCrashIDs = 32
	// maxCrashIDBytes bounds a crash id: an instance id, a start time and a
	// count.
	maxCrashIDBytes = MaxNameBytes + 40
	// maxDetailBytes bounds the text of a refusal in a packet.
	maxDetailBytes = 200
)

// Errors of Decode and of the checks on exchanges. They are counted by kind.
var (
	ErrOversize  = errors.New("membership: packet exceeds the size limit")
	ErrMalformed = errors.New("membership: packet is malformed")
	ErrForeign   = errors.New("membership: packet is of another mesh")
	ErrBounds    = errors.New("membership: field is out of bounds")
	ErrReplayed  = errors.New("membership: packet is replayed or out of date")
)

// Encode returns the datagram for a packet, or ErrOversize.
func Encode(packet *peerv1.Packet) ([]byte, error) {
	datagram, err := proto.Marshal(packet)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if len(datagram) > MaxPacketBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrOversize, len(datagram))
	}
	return datagram, nil
}

// Decode reads a datagram of the given mesh. It returns an error that wraps
// ErrOversize, ErrMalformed, ErrForeign or ErrBounds, and never panics.
func Decode(datagram []byte, mesh string) (*peerv1.Packet, error) {
	if len(datagram) > MaxPacketBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrOversize, len(datagram))
	}
	packet := &peerv1.Packet{}
	if err := proto.Unmarshal(datagram, packet); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if packet.GetMesh() != mesh {
		return nil, fmt.Errorf("%w: %.64q", ErrForeign, packet.GetMesh())
	}
	if err := checkPacket(packet); err != nil {
		return nil, err
	}
	return packet, nil
}

func checkPacket(packet *peerv1.Packet) error {
	if err := checkName("from", packet.GetFrom()); err != nil {
		return err
	}
	if packet.GetBody() == nil {
		return fmt.Errorf("%w: no body", ErrMalformed)
	}
	if err := checkConfigID(packet.GetApplied()); err != nil {
		return err
	}
	if err := checkRefusal(packet.GetRefused()); err != nil {
		return err
	}
	if err := checkBody(packet); err != nil {
		return err
	}
	if err := checkFingerprints(packet.GetQuarantined()); err != nil {
		return err
	}
	return checkMembers(packet.GetUpdates())
}

func checkBody(packet *peerv1.Packet) error {
	switch body := packet.GetBody().(type) {
	case *peerv1.Packet_PingRequest:
		if err := checkName("target", body.PingRequest.GetTarget()); err != nil {
			return err
		}
		return checkAddress(body.PingRequest.GetAddress())
	case *peerv1.Packet_ConfigNotice:
		return checkConfigID(body.ConfigNotice.GetId())
	case *peerv1.Packet_AppliedReport:
		return checkConfigID(body.AppliedReport.GetApplied())
	}
	return nil
}

// checkExchange checks a request that came over the network.
func checkExchange(request *peerv1.ExchangeMembersRequest, mesh string) error {
	if request.GetMesh() != mesh {
		return fmt.Errorf("%w: %.64q", ErrForeign, request.GetMesh())
	}
	if err := checkName("from", request.GetFrom()); err != nil {
		return err
	}
	for _, bucket := range request.GetBuckets() {
		if bucket >= bucketCount {
			return fmt.Errorf("%w: bucket %d", ErrBounds, bucket)
		}
	}
	for _, digest := range request.GetDigests() {
		if err := checkName("digest", digest.GetInstance()); err != nil {
			return err
		}
	}
	return checkShared(request.GetMembers(), request.GetReports(), request.GetQuarantined(), request.GetApplied())
}

// checkExchangeResponse checks a response that came over the network.
func checkExchangeResponse(response *peerv1.ExchangeMembersResponse) error {
	count := len(response.GetBucketHashes())
	if count != 0 && count != bucketCount {
		return fmt.Errorf("%w: %d bucket hashes", ErrBounds, count)
	}
	return checkShared(response.GetMembers(), response.GetReports(), response.GetQuarantined(), response.GetApplied())
}

func checkShared(members []*peerv1.Member, reports []*peerv1.DataCentreReport, fingerprints []*peerv1.Fingerprint, applied *peerv1.ConfigID) error {
	if err := checkConfigID(applied); err != nil {
		return err
	}
	if err := checkFingerprints(fingerprints); err != nil {
		return err
	}
	for _, report := range reports {
		if err := checkName("report", report.GetDataCentre()); err != nil {
			return err
		}
	}
	return checkMembers(members)
}

func checkMembers(members []*peerv1.Member) error {
	for _, member := range members {
		if err := checkMember(member); err != nil {
			return err
		}
	}
	return nil
}

func checkMember(member *peerv1.Member) error {
	if err := checkName("instance", member.GetInstance()); err != nil {
		return err
	}
	if err := checkName("data centre", member.GetDataCentre()); err != nil {
		return err
	}
	if err := checkAddress(member.GetAddress()); err != nil {
		return err
	}
	if len(member.GetService()) > MaxNameBytes {
		return fmt.Errorf("%w: service of %d bytes", ErrBounds, len(member.GetService()))
	}
	if member.GetIncarnation() > maxCounter || member.GetSequence() > maxCounter {
		return fmt.Errorf("%w: incarnation %d, sequence %d", ErrBounds, member.GetIncarnation(), member.GetSequence())
	}
	if member.GetSlots() > MaxSlots {
		return fmt.Errorf("%w: %d slots", ErrBounds, member.GetSlots())
	}
	if state := member.GetUpstreamState(); state < 0 || int(state) > int(UpstreamGone) {
		return fmt.Errorf("%w: upstream state %d", ErrBounds, state)
	}
	if l := member.GetLiveness(); l < peerv1.Liveness_LIVENESS_ALIVE || l > peerv1.Liveness_LIVENESS_LEFT {
		return fmt.Errorf("%w: liveness %d", ErrBounds, l)
	}
	return nil
}

func checkName(field, name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return fmt.Errorf("%w: %s of %d bytes", ErrBounds, field, len(name))
	}
	return nil
}

func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%w: address %.64q", ErrBounds, address)
	}
	return nil
}

func checkConfigID(id *peerv1.ConfigID) error {
	if id.GetVersion() == 0 && len(id.GetDigest()) == 0 {
		return nil
	}
	if id.GetVersion() == 0 || len(id.GetDigest()) != manifest.DigestSize {
		return fmt.Errorf("%w: version %d with a digest of %d bytes", ErrBounds, id.GetVersion(), len(id.GetDigest()))
	}
	return nil
}

func checkRefusal(refusal *peerv1.Refusal) error {
	if len(refusal.GetDetail()) > maxDetailBytes {
		return fmt.Errorf("%w: refusal of %d bytes", ErrBounds, len(refusal.GetDetail()))
	}
	return checkConfigID(refusal.GetId())
}

func checkCrashIDs(ids []string) error {
	if len(ids) > maxCrashIDs {
		return fmt.Errorf("%w: %d crash ids", ErrBounds, len(ids))
	}
	for _, id := range ids {
		if len(id) > maxCrashIDBytes {
			return fmt.Errorf("%w: crash id of %d bytes", ErrBounds, len(id))
		}
	}
	return nil
}

func checkFingerprints(fingerprints []*peerv1.Fingerprint) error {
	for _, f := range fingerprints {
		if len(f.GetHash()) != maxHashBytes {
			return fmt.Errorf("%w: fingerprint of %d bytes", ErrBounds, len(f.GetHash()))
		}
		if err := checkCrashIDs(f.GetCrashIds()); err != nil {
			return err
		}
	}
	return nil
}
