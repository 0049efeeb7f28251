// Package dev runs a whole small deployment in one process over loopback
// sockets: a platform stand-in, entry hosts in two availability zones, backend
// server stand-ins, and a mixed load. It is a demonstration, not a simulator.
package dev

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"

	"parsleyrelay.example/api/platformapi"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/relay/daemon"
	"parsleyrelay.example/relay/platform"
	"parsleyrelay.example/standin/listen"
	platformstandin "parsleyrelay.example/standin/platform"
	"parsleyrelay.example/standin/server"
)

// deployment is a running deployment whose entry hosts and stand-ins are
// goroutines of this process.
type deployment struct {
	profile      siteProfile
	opts         Options
	platform     *platformstandin.Platform
	listener     *listen.Server
	hosts        []*entryHost
	servers      []*backendServer
	journal      *server.Journal
	runningHosts sync.WaitGroup
	hostErrors   chan error
}

type entryHost struct {
	name        string
	zone        string
	callerURL   string
	operatorURL string
	stop        context.CancelFunc
}

type backendServer struct {
	name     string
	service  string
	zone     string
	listener *listen.Server
	server   *server.Server
}

func startDeployment(ctx context.Context, opts Options) (*deployment, error) {
	profile, err := opts.resolveProfile()
	if err != nil {
		return nil, err
	}
	d := &deployment{
		profile: profile, opts: opts,
		platform: platformstandin.New(time.Now), journal: server.NewJournal(),
		hostErrors: make(chan error, len(profile.zones)*profile.hostsPerZone),
	}
	if d.listener, err = d.platform.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for _, service := range profile.services {
		for i := range service.servers {
			zone := profile.zones[i%len(profile.zones)]
			name := fmt.Sprintf("%s-%s-%d", service.name, zone, i/len(profile.zones)+1)
			s, err := d.startServer(name, service.name, zone, uint64(i), true)
			if err != nil {
				return d, err
			}
			d.servers = append(d.servers, s)
		}
	}
	for _, zone := range profile.zones {
		for i := 1; i <= profile.hostsPerZone && !opts.ExternalHosts; i++ {
			if err := d.startHost(ctx, hostName(zone, i), zone, opts.Logger); err != nil {
				return d, err
			}
		}
	}
	d.setPlatformHosts()
	return d, nil
}

func hostName(zone string, i int) string { return fmt.Sprintf("entry-%s-%d", zone, i) }

func (d *deployment) startServer(name, service, zone string, seed uint64, checksGrants bool) (*backendServer, error) {
	serviceTime := server.Exponential(d.profile.serviceTime)
	if d.opts.ConstantServiceTime {
		serviceTime = server.Constant(d.profile.serviceTime)
	}
	s := server.New(server.Options{
		ServerName: name, ServiceName: service, ChecksGrants: checksGrants, Slots: d.profile.slots,
		ServiceTime: serviceTime, Seed: seed, Journal: d.journal,
		Listen: listen.Options{MaxConnections: d.profile.connections, ConnectionSetupDelay: time.Millisecond},
	})
	l, err := s.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &backendServer{name: name, service: service, zone: zone, listener: l, server: s}, nil
}

func (d *deployment) startHost(ctx context.Context, name, zone string, logger log.Logger) error {
	var listeners daemon.Listeners
	for _, l := range []*net.Listener{&listeners.Caller, &listeners.Peer, &listeners.Operator} {
		opened, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		*l = opened
	}
	relay, err := daemon.New(daemon.Options{
		Host: name, Zone: zone, PeerURL: "http://" + listeners.Peer.Addr().String(),
		Listeners: listeners, Platform: platform.Options{BaseURL: d.listener.URL()},
		Logger: log.With(logger, "host", name), LogRetention: time.Hour,
		MaxRequests: 4096, MaxHeaderBytes: 64 << 10, DrainTimeout: 30 * time.Second,
		OperatorToken: operatorToken, PolicyOff: d.opts.PolicyOff,
	})
	if err != nil {
		return err
	}
	hostCtx, stop := context.WithCancel(ctx)
	d.hosts = append(d.hosts, &entryHost{
		name: name, zone: zone, stop: stop,
		callerURL:   "http://" + listeners.Caller.Addr().String(),
		operatorURL: "http://" + listeners.Operator.Addr().String(),
	})
	d.runningHosts.Go(func() {
		if err := relay.Run(hostCtx); err != nil {
			d.hostErrors <- fmt.Errorf("host %s: %w", name, err)
		}
	})
	return nil
}

func (d *deployment) setPlatformHosts() {
	var list []platformapi.Host
	for _, zone := range d.profile.zones {
		for i := 1; i <= d.profile.hostsPerZone; i++ {
			list = append(list, platformapi.Host{Name: hostName(zone, i), State: platformapi.HostLive})
		}
	}
	for _, s := range d.servers {
		list = append(list, platformapi.Host{Name: s.name, State: platformapi.HostLive})
	}
	d.platform.SetHosts(list...)
}

// resources returns the ranks, services and servers that an operator would declare
// for this deployment.
func (d *deployment) resources() []resource.Resource {
	var list []resource.Resource
	for level, name := range d.profile.ranks {
		list = append(list, resource.Resource{Name: name, Spec: &resource.Rank{Level: level, FloorPercent: rankFloorPercents[level]}})
	}
	for _, s := range d.profile.services {
		list = append(list, resource.Resource{Name: s.name, Spec: &resource.Service{
			Ranks: d.profile.ranks, DefaultRank: d.profile.ranks[len(d.profile.ranks)-1],
		}})
	}
	for _, s := range d.servers {
		list = append(list, resource.Resource{Name: s.name, Spec: &resource.Server{
			Service: s.service, Zone: s.zone, Address: s.listener.URL(),
			Slots: d.profile.slots, Connections: d.profile.connections, ChecksGrants: true,
		}})
	}
	return list
}

func (d *deployment) applyResources() error {
	for _, r := range d.resources() {
		data, err := record.Marshal(record.Record{
			ID: uuid.NewString(), Proposer: "dev", WallTimeMS: time.Now().UnixMilli(),
			Body: record.ResourcePut{Resource: r, ChangeID: uuid.NewString()},
		})
		if err != nil {
			return err
		}
		d.platform.Append(data)
	}
	return nil
}

// awaitServing polls until probeHost succeeds for every entry host.
func (d *deployment) awaitServing(ctx context.Context, probeHost func(ctx context.Context, host *entryHost) bool) error {
	for {
		serving := 0
		for _, h := range d.hosts {
			if probeHost(ctx, h) {
				serving++
			}
		}
		if serving == len(d.hosts) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("the deployment did not serve in time")
		case err := <-d.hostErrors:
			return err
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// stop drains and stops all entry hosts, then closes the stand-ins.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		h.stop()
	}
	d.runningHosts.Wait()
	for _, s := range d.servers {
		s.listener.Close()
	}
	if d.listener != nil {
		d.listener.Close()
	}
}
