package afqueue_test

import (
	"fmt"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afqueue"
)

// A customer that sends three requests at once does not delay a customer that sends one request.
func ExampleQueue() {
	var q afqueue.Queue
	now := time.Unix(0, 0)
	for i, customer := range []string{"large", "large", "large", "small"} {
		q.Push(afqueue.Entry{
			ID: uint64(i), Customer: customer, Weight: 1, Class: "model", Cost: 100,
			ArrivedAt: now, Deadline: now.Add(time.Minute),
		})
	}
	for {
		e, ok := q.Pop(now, func(string) bool { return true })
		if !ok {
			return
		}
		fmt.Println(e.Customer)
	}
	// Output:
	// large
	// small
	// large
	// large
}
