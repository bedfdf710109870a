package afquota

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/aflimit"
)

// TestForgottenTransferGivesNoPartsTwice guards against a share that two VMs use because the store has forgotten its transfer,
// and against shares that are not used again after that.
func TestForgottenTransferGivesNoPartsTwice(t *testing.T) {
	f := newSettledFleet(2)
	older := maps.Clone(f.objects)
	f.startVM("vm2")
	for range 20 {
		f.advanceAndMaintain(time.Second)
	}
	require.Positive(t, f.running["vm2"].Status()[0].BaseParts)
	f.goBack(older)
	inUse := func() (sum int64) {
		for _, s := range f.running {
			sum += s.Status()[0].BaseParts
		}
		return sum
	}
	f.startVM("vm3") // The others read the record to give it a share.
	f.running["vm0"].RecordEra(1)
	for range 12 {
		f.advanceAndMaintain(time.Second)
		require.LessOrEqual(t, inUse(), int64(aflimit.TotalParts))
	}
	for range 60 {
		f.advanceAndMaintain(time.Second)
		require.LessOrEqual(t, inUse(), int64(aflimit.TotalParts))
	}
	require.Equal(t, int64(aflimit.TotalParts), inUse())
	require.Equal(t, int64(aflimit.TotalParts/4), f.running["vm3"].Status()[0].BaseParts)
}

// TestNewCustomerWaitsForNoLoans guards against a customer without tokens because its first record counts as lost.
func TestNewCustomerWaitsForNoLoans(t *testing.T) {
	f := newFleet(3, customer)
	f.era = 4
	for range 3 {
		f.advanceAndMaintain(time.Second)
	}
	_, refusal := f.running["vm0"].ReserveTokens(t.Context(), "c", 6000)
	require.Nil(t, refusal)
}

// TestLoanOfForgottenShareEndsFirst guards against parts that are gained while a loan of a forgotten share still runs.
func TestLoanOfForgottenShareEndsFirst(t *testing.T) {
	f := newSettledFleet(2)
	older := maps.Clone(f.objects)
	lender := f.startVM("vm2")
	for range 20 {
		f.advanceAndMaintain(time.Second)
	}
	borrower := f.running["vm1"]
	_, refusal := borrower.ReserveTokens(t.Context(), "c", 5000)
	require.Nil(t, refusal)
	require.Positive(t, lender.accountOf(customer).limiter.LentParts().Burst)
	f.goBack(older)
	f.killVM("vm2")
	f.goneVMs[lender.Self] = true
	f.members = f.members[:2]
	f.startVM("vm2")
	for range 20 {
		f.advanceAndMaintain(time.Second)
		sum := int64(0)
		for _, s := range f.running {
			sum += s.accountOf(customer).limiter.HeldParts().Burst
		}
		require.LessOrEqual(t, sum, int64(aflimit.TotalParts))
	}
}
