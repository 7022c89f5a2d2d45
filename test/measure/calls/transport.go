package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// measureTransport compares one hop by kept HTTP/1.1 connections with one by
// unencrypted HTTP/2, at the same rates; their calls alternate.
func measureTransport(opts options) error {
	body := make([]byte, answerBytes)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) })
	s, err := serve(handler)
	if err != nil {
		return err
	}
	defer s.Close()
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.Protocols = protocols
	second := &http.Protocols{}
	second.SetUnencryptedHTTP2(true)
	names := []string{"HTTP/1.1", "HTTP/2"}
	transports := []*http.Transport{
		{MaxIdleConnsPerHost: 32, DisableCompression: true},
		{Protocols: second, DisableCompression: true},
	}
	fmt.Println("transport between daemons, one hop, 1 KiB answers")
	for _, rate := range opts.Rates {
		hists := []*latencies{newLatencies(), newLatencies()}
		pace(float64(2*rate), opts.Length, latencyInFlight, func(n int) {
			way := n % 2
			began := time.Now()
			if hop(transports[way], s.address) == nil {
				hists[way].add(time.Since(began))
			}
		})
		for way, name := range names {
			fmt.Printf("%5d calls/s %-8s %s (%d calls)\n", rate, name, hists[way], hists[way].hist.TotalCount())
		}
	}
	return nil
}

func hop(transport *http.Transport, address string) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/x", nil)
	if err != nil {
		return err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return drain(resp)
}
