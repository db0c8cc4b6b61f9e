package main

import (
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// slotsPerServer and workTime describe the service.
	slotsPerServer = 3
	workTime       = 100 * time.Millisecond
	clientsPerZone = 20
	// lateWait is how long to wait for requests that run after the last answer.
	lateWait = 2 * time.Second
)

// playRefused plays traffic on a service with the given number of servers in each zone
// beside trouble, which runs until the end, and checks that no request that was refused has
// run. Each client sends perSecond requests a second.
func playRefused(s *setup, serversPerZone, maxAttempts int, perSecond float64, trouble func(d *deployment, until time.Time) error) ([]string, error) {
	d, err := newDeployment(s, maxAttempts)
	if err != nil {
		return nil, err
	}
	defer d.close()
	if err := d.addServers("bookdesk", serversPerZone, slotsPerServer, workTime); err != nil {
		return nil, err
	}
	d.putConfig(7)
	if err := d.startFronts(); err != nil {
		return nil, err
	}
	until := time.Now().Add(s.length)
	done := make(chan error, 1)
	go func() {
		if !s.trouble {
			done <- nil
			return
		}
		done <- trouble(d, until)
	}()
	d.runClients(clientsPerZone, perSecond, until)
	if err := <-done; err != nil {
		return nil, err
	}
	time.Sleep(lateWait)
	return s.record.refusedAndRun(), nil
}

const (
	// downTime is how long the servers of a zone are down, and returnPeriod the time from
	// one time to the next.
	downTime     = time.Second
	returnPeriod = 2500 * time.Millisecond
	// garbledShare is the share of the servers that send answers twice.
	garbledShare = 0.6
)

// playMisdirected plays servers of one zone after the other that are down for a moment and
// come back at their addresses under new IDs (cold_return), while some servers send a copy
// of some answers late (garble, extra late).
func playMisdirected(s *setup) ([]string, error) {
	const serversPerZone, attempts, perSecond = 2, 2, 1.0
	return playRefused(s, serversPerZone, attempts, perSecond, func(d *deployment, until time.Time) error {
		for _, i := range rand.Perm(len(d.servers))[:int(garbledShare*float64(len(d.servers)))] {
			garble(d.servers[i], func(status int) bool { return status == http.StatusMisdirectedRequest })
		}
		for n := 0; time.Until(until) > returnPeriod; n++ {
			zone := places()[n%len(places())].zone
			var down []*server
			for _, server := range d.servers {
				if server.zone == zone {
					server.crash()
					down = append(down, server)
				}
			}
			time.Sleep(downTime)
			for _, server := range down {
				if err := server.start(true); err != nil {
					return err
				}
			}
			time.Sleep(returnPeriod - downTime)
		}
		return nil
	})
}

// garble makes a server send answers twice whose status f accepts.
func garble(s *server, f func(status int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.garbles = f
}

// shedShare is the part of the requests that a grey server sheds.
const shedShare = 0.45

// playThirdAttempt plays a server that sheds a part of its requests although it has free
// slots (srv_grey, shed), and that sends a copy of some of these answers late (garble,
// extra late), with routes that allow three attempts.
func playThirdAttempt(s *setup) ([]string, error) {
	const serversPerZone, attempts, perSecond = 4, 3, 2.0
	return playRefused(s, serversPerZone, attempts, perSecond, func(d *deployment, _ time.Time) error {
		grey := d.servers[rand.IntN(len(d.servers))]
		garble(grey, func(status int) bool { return status == http.StatusServiceUnavailable })
		grey.mu.Lock()
		defer grey.mu.Unlock()
		grey.sheds = func(string) bool { return rand.Float64() < shedShare }
		return nil
	})
}
