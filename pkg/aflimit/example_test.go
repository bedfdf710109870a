package aflimit_test

import (
	"fmt"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/aflimit"
)

// Two VMs share a customer's limit evenly. The second VM has no demand and lends the first VM what it lacks.
func ExampleAccount() {
	limit := aflimit.Limit{Rate: aflimit.Tokens(100), Burst: aflimit.Tokens(1000)}
	first, second := aflimit.NewAccount(limit, 0), aflimit.NewAccount(limit, 0)
	for _, a := range []*aflimit.Account{first, second} {
		a.SetBaseParts(aflimit.TotalParts/2, aflimit.TotalParts/2, 0)
	}
	now := time.Second
	fmt.Println("700 tokens fit locally:", first.ReserveTokens(700, now) != nil)

	tokens, parts := first.BorrowNeed(700, now)
	request := first.RequestLoan("vm-2", tokens, parts, now)
	grant := second.GrantLoan(arbutusfork.Incarnation{VM: "vm-1", StartID: 1}, request, now)
	fmt.Println("credited:", first.CreditGrant(grant, now))
	fmt.Println("credited again:", first.CreditGrant(grant, now))
	fmt.Println("700 tokens fit with the loan:", first.ReserveTokens(700, now) != nil)
	// Output:
	// 700 tokens fit locally: false
	// credited: true
	// credited again: false
	// 700 tokens fit with the loan: true
}
