package main

import (
	"fmt"
	"net/http"
	"time"
)

// Bounds of the case about keys.
const (
	configTime = 2000 * time.Millisecond
	revokeTime = 5000 * time.Millisecond
)

// keyOf returns the n-th key of the tenant.
func keyOf(n int) string { return fmt.Sprintf("7yx5x42q492cqf75%04d", n) }

// keysFrom returns a number of keys, from the n-th on.
func keysFrom(n, count int) []string {
	var all []string
	for i := range count {
		all = append(all, keyOf(n+i))
	}
	return all
}

// keys plays a new version of the configuration that takes a key away, adds others and moves a
// route. With the disruption, the tenant has one key more than before.
func keys(p *play) (broken bool, err error) {
	const before = 100
	p.moreBounds = `,"strict_revoke=true","revoke_ms=5000","quota_window_s=5","quota_excess=0.1","quota_slack=20"`
	services := []string{"svc-a", "svc-b"}
	r := route{name: "r-read", host: "read.example", prefix: "/read/", kind: "idempotent", service: "svc-a", timeoutMS: 1500}
	p.publish(1, services, []tenant{{Name: "tenant-1", APIKeys: keysFrom(1, before)}}, r)
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := p.addNode(zone, services[i%len(services)]); err != nil {
			return false, err
		}
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	for i, n := range p.nodes {
		if _, err := n.startWorker(fmt.Sprintf("i-%d", i), 10*time.Millisecond); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)

	// The second key goes, and one or two come.
	added := 1
	if p.trouble {
		added = 2
	}
	kept := append(keysFrom(1, 1), keysFrom(3, before-2+added)...)
	moved := r
	moved.service = "svc-b"
	p.publish(2, services, []tenant{{Name: "tenant-1", APIKeys: kept}}, moved)
	ackAt := time.Now()
	p.printf("version 2 takes the key %s away, adds %v, which makes %d, and moves the route from svc-a to svc-b", keyOf(2), kept[before-1:], len(kept))
	time.Sleep(configTime)
	ran := map[string]int{}
	const end = 12 * time.Second
	client := &http.Client{}
	for time.Since(ackAt) < end {
		for _, n := range p.nodes {
			for _, key := range []string{keyOf(1), keyOf(2), kept[len(kept)-1]} {
				keyed := r
				keyed.key = key
				id := newID()
				sentAt := time.Since(ackAt)
				status := n.send(client, http.MethodGet, keyed, id, nil)
				p.judge(ran, id, key, sentAt, status)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	p.printf("sent later than %s after the ack: %d ran at svc-a, from which the route was moved; %d with the new key got 401",
		configTime, ran["old service"], ran["refused"])
	p.printf("sent later than %s after the ack with the key that was taken away: %d ran", revokeTime, ran["revoked"])
	return ran["old service"]+ran["revoked"] > 0, nil
}

// judge counts what became of a request that was sent after the ack of version 2.
func (p *play) judge(ran map[string]int, id, key string, sentAt time.Duration, status int) {
	service := ""
	for _, n := range p.nodes {
		for _, a := range n.worker.arrivals() {
			if a.id == id {
				service = n.service
			}
		}
	}
	p.printf("sent %d ms after the ack with %s: status %d, ran at %q", sentAt.Milliseconds(), key, status, service)
	switch {
	case service == "svc-a":
		ran["old service"]++
	case status == http.StatusUnauthorized && key != keyOf(2):
		ran["refused"]++
	}
	if service != "" && key == keyOf(2) && sentAt > revokeTime {
		ran["revoked"]++
	}
}
