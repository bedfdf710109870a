package afquota

import (
	"testing"
	"time"

	"arbutusfork.example/arbutusfork"
	"github.com/stretchr/testify/require"
)

// BenchmarkReserveSettle measures a request that fits locally.
func BenchmarkReserveSettle(b *testing.B) {
	f := newFleet(6, arbutusfork.Customer{Name: "c", Rate: 1 << 20, Burst: 1 << 30})
	f.step(time.Second)
	s := f.vms["vm0"]
	b.ReportAllocs()
	for b.Loop() {
		r, _ := s.ReserveTokens(b.Context(), "c", 10)
		r.Settle(5)
	}
}

// BenchmarkReserveSettleParallel measures the same from all processors on one customer.
func BenchmarkReserveSettleParallel(b *testing.B) {
	f := newFleet(6, arbutusfork.Customer{Name: "c", Rate: 1 << 20, Burst: 1 << 30})
	f.step(time.Second)
	s := f.vms["vm0"]
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r, _ := s.ReserveTokens(b.Context(), "c", 10)
			r.Settle(5)
		}
	})
}

// BenchmarkBorrowRound measures a request that needs loans from seven VMs, without the network, and their return.
func BenchmarkBorrowRound(b *testing.B) {
	f := newFleet(8, arbutusfork.Customer{Name: "c", Rate: 1000, Burst: 1 << 20})
	f.step(time.Second)
	s := f.vms["vm0"]
	a := s.account(f.customers["c"])
	b.ReportAllocs()
	for b.Loop() {
		r, refusal := s.ReserveTokens(b.Context(), "c", 1<<19)
		require.Nil(b, refusal)
		r.Settle(0)
		a.mu.Lock()
		returned := a.takeBack(a.state.TakenLoans(), s.now())
		a.next, a.paid = 0, 0
		a.mu.Unlock()
		s.sendBack(a, returned)
	}
}
