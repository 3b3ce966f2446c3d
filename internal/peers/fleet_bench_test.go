package peers_test

import (
	"context"
	"fmt"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/catalog"
	"github.com/plantainrun/plantainrun/internal/loopback"
	"github.com/plantainrun/plantainrun/internal/peers"
	"github.com/plantainrun/plantainrun/internal/placement"
)

const (
	benchDomains = 3
	// jobsPerHost is the number of jobs that a host places per second.
	jobsPerHost = 2
	jobDuration = 300 * time.Millisecond
)

// BenchmarkFleet measures the CPU time per host and second that the exchange with
// other hosts takes, for fleets of several sizes.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{6, 30, 82} {
		for _, jobs := range []float64{0, jobsPerHost} {
			b.Run(fmt.Sprintf("hosts=%d/jobs=%v", size, jobs), func(b *testing.B) { benchFleet(b, size, jobs) })
		}
	}
}

func benchFleet(b *testing.B, size int, jobs float64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var placers []*placement.Placer
	var services []*peers.Service
	var seed netip.AddrPort
	for i := range size {
		addr, err := loopback.FreeAddr()
		if err != nil {
			b.Fatal(err)
		}
		if i == 0 {
			seed = addr
		}
		h := &host{changed: make(chan struct{})}
		h.placer = placement.NewPlacer(time.Now, uint64(i))
		s := peers.New(peers.Config{
			HostID: fmt.Sprint(i), Domain: fmt.Sprint(i % benchDomains), Addr: addr,
			Seeds: []netip.AddrPort{seed}, Placer: h.placer, Log: zap.NewNop(),
		})
		s.Attach(h, h)
		h.placer.SetObserver(s)
		if err := s.Start(ctx); err != nil {
			b.Fatal(err)
		}
		placers = append(placers, h.placer)
		services = append(services, s)
	}
	for _, s := range services {
		for s.HostCount() < size {
			time.Sleep(10 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	start, startCPU := time.Now(), cpuTime()
	if jobs > 0 {
		interval := time.Duration(float64(time.Second) / jobs)
		for _, placer := range placers {
			go placeJobs(ctx, placer, interval)
		}
	}
	const measured = 5 * time.Second
	for range b.N {
		time.Sleep(measured)
	}
	elapsed := time.Since(start).Seconds()
	b.ReportMetric((cpuTime()-startCPU).Seconds()*1000/elapsed/float64(size), "cpu-ms/host/s")
	b.ReportMetric(0, "ns/op")
}

// placeJobs places a job at each interval until ctx ends.
func placeJobs(ctx context.Context, placer *placement.Placer, interval time.Duration) {
	targets := []catalog.Target{{TargetKey: catalog.TargetKey{ID: "t"}, Service: "orders", Slots: 1 << 20}}
	for ctx.Err() == nil {
		time.Sleep(interval)
		p, err := placer.Place(placement.Request{Service: "orders"}, targets)
		if err != nil {
			continue
		}
		time.AfterFunc(jobDuration/2, p.FirstEvent)
		time.AfterFunc(jobDuration, func() { p.End(placement.Served) })
	}
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
