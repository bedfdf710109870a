package afquota

import (
	"testing"
	"time"

	"arbutusfork.example/arbutusfork"
	"github.com/stretchr/testify/require"
)

// BenchmarkReserveSettle measures a request whose tokens are available on the VM.
func BenchmarkReserveSettle(b *testing.B) {
	f := newFleet(6, arbutusfork.Customer{Name: "c", RatePerSecond: 1 << 20, Burst: 1 << 30})
	f.advanceAndMaintain(time.Second)
	s := f.running["vm0"]
	b.ReportAllocs()
	for b.Loop() {
		r, _ := s.ReserveTokens(b.Context(), "c", 10)
		r.Settle(5)
	}
}

// BenchmarkReserveSettleParallel measures such requests for one customer from all processors.
func BenchmarkReserveSettleParallel(b *testing.B) {
	f := newFleet(6, arbutusfork.Customer{Name: "c", RatePerSecond: 1 << 20, Burst: 1 << 30})
	f.advanceAndMaintain(time.Second)
	s := f.running["vm0"]
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r, _ := s.ReserveTokens(b.Context(), "c", 10)
			r.Settle(5)
		}
	})
}

// BenchmarkBorrowRound measures a request that needs loans from seven VMs, and the return of the loans. Network time
// is not included.
func BenchmarkBorrowRound(b *testing.B) {
	f := newFleet(8, arbutusfork.Customer{Name: "c", RatePerSecond: 1000, Burst: 1 << 20})
	f.advanceAndMaintain(time.Second)
	s := f.running["vm0"]
	a := s.accountOf(f.customers["c"])
	b.ReportAllocs()
	for b.Loop() {
		r, refusal := s.ReserveTokens(b.Context(), "c", 1<<19)
		require.Nil(b, refusal)
		r.Settle(0)
		a.mu.Lock()
		returns := a.debitLoans(a.limiter.TakenLoans(), s.now())
		a.nextRoundAt, a.budgetUsedUntil = 0, 0
		a.mu.Unlock()
		s.sendReturns(a, returns)
	}
}
