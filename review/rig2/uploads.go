package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the uploads.
const (
	// fileBytes is the size of each file, 12.5 MiB. The configuration allows 64 MiB.
	fileBytes = 25 << 19
	// usualUsers send files at the same moment on a usual day, burstUsers with a burst of 1.7.
	usualUsers = 10
	burstUsers = 17
	// uploadInterval is the time between two such moments.
	uploadInterval = 3 * time.Second
	rounds         = 14
	// burstEvery is after how many rounds a burst comes.
	burstEvery = 2
	// endsForFault is how often processes must end for the rule, on each of as many machines as
	// wantedMachines.
	endsForFault   = 3
	wantedMachines = 2
)

// residentMB returns the resident memory of a process, 0 if it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

// memoryLimit kills a daemon that exceeds the memory of its machine and starts it again, as the
// platform does.
type memoryLimit struct {
	node *node
	peak atomic.Int64
	ends atomic.Int64
}

func (m *memoryLimit) enforce(stop <-chan struct{}) {
	const interval = 5 * time.Millisecond
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		resident := residentMB(m.node.process.Process.Pid)
		m.peak.Store(max(m.peak.Load(), int64(resident)))
		if resident <= memoryMB {
			continue
		}
		m.ends.Add(1)
		m.node.play.printf("the daemon of %s has %d MB, more than the %d MB of its machine: the platform kills it", m.node.name, resident, memoryMB)
		m.node.kill()
		time.Sleep(restartDelay)
		if err := m.node.start(); err != nil {
			m.node.play.printf("%v", err)
			return
		}
	}
}

// uploads plays users who send files at the same moment.
func uploads(p *play) (broken bool, err error) {
	r := route{name: "r-upload", host: "up.example", prefix: "/up/", kind: "upload", service: "svc-a", timeoutMS: 6000}
	p.publish(1, []string{"svc-a"}, nil, r)
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := p.addNode(zone, "svc-a"); err != nil {
			return false, err
		}
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var limits []*memoryLimit
	for i, n := range p.nodes {
		if _, err := n.startWorker(fmt.Sprintf("i-%d", i), 180*time.Millisecond); err != nil {
			return false, err
		}
		limit := &memoryLimit{node: n}
		limits = append(limits, limit)
		go limit.enforce(stop)
	}
	time.Sleep(2 * time.Second)
	file := make([]byte, fileBytes)
	for round := range rounds {
		users := usualUsers
		if p.trouble && round%burstEvery == burstEvery-1 {
			users = burstUsers
		}
		next := time.After(uploadInterval)
		seen := &outcome{}
		p.printf("%d users on each of 2 machines send a file of %d bytes", users, len(file))
		var running sync.WaitGroup
		for _, n := range p.nodes[:wantedMachines] {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for range users {
				running.Add(1)
				go func() {
					defer running.Done()
					seen.add(n.send(client, http.MethodPost, r, newID(), file))
				}()
			}
		}
		running.Wait()
		p.printf("answers by status (0: none): %s; largest memory so far: %d, %d and %d MB", seen, limits[0].peak.Load(), limits[1].peak.Load(), limits[2].peak.Load())
		<-next
	}
	close(stop)
	machines := 0
	for _, limit := range limits {
		p.printf("processes of %s ended %d times", limit.node.name, limit.ends.Load())
		if limit.ends.Load() >= endsForFault {
			machines++
		}
	}
	return machines >= wantedMachines, nil
}
