package proxy

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/control"
	"godwitmount/internal/event"
	"godwitmount/internal/quarantine"
)

// fingerprint recognises a request that comes again: the same caller service,
// target and body.
func fingerprint(request *hopv1.Request) quarantine.Fingerprint {
	digest := xxhash.New()
	for _, text := range []string{request.CallerService, request.Method, request.Host, request.Target} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
		// Writing to a digest never fails.
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(text)
	}
	_, _ = digest.Write(request.Body)
	return quarantine.Fingerprint(digest.Sum64())
}

// quarantined tells whether a request has crashed upstreams.
func (p *Proxy) quarantined(request *hopv1.Request) bool {
	return !p.suspects.Empty() && p.suspects.Refused(fingerprint(request), p.now())
}

// suspect notes a request that was running when the upstream crashed, and
// tells all peers.
func (p *Proxy) suspect(request *hopv1.Request, u *control.Upstream) {
	crash := quarantine.Crash(xxhash.Sum64String(p.cfg.Instance + u.ID + strconv.FormatInt(u.Born, 10)))
	f := fingerprint(request)
	if p.suspects.Add(quarantine.Suspect{Fingerprint: f, Crashes: []quarantine.Crash{crash}}, p.now()) {
		p.deps.Log.Call(event.RequestCrashed, true, zap.String("id", request.Id), zap.Uint64("fingerprint", uint64(f)),
			zap.String("upstream", u.ID), zap.Bool("refused", p.suspects.Refused(f, p.now())))
		p.deps.Tell()
	}
}

// Suspected takes the suspects that a peer tells of, and passes on what is news:
// not all daemons are connected to the one where the crash was.
func (p *Proxy) Suspected(told []*hopv1.Suspect) {
	news := false
	for _, suspect := range told {
		taken := quarantine.Suspect{Fingerprint: quarantine.Fingerprint(suspect.Fingerprint)}
		for _, crash := range suspect.Crashes {
			taken.Crashes = append(taken.Crashes, quarantine.Crash(crash))
		}
		news = p.suspects.Add(taken, p.now()) || news
	}
	if news {
		p.deps.Tell()
	}
}
