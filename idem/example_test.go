package idem_test

import (
	"context"
	"fmt"
	"time"

	"github.com/azuredeal/azuredeal/idem"
	"github.com/azuredeal/azuredeal/store"
)

func ExampleGuard() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	self := idem.NewOwner(1, "10.0.0.1:7000")
	keys := idem.NewKeyIssuer([]byte("key that the fleet shares"), self)
	ledger := idem.NewLedger(ctx, 100_000, 64<<20)
	claims := idem.NewClaims(ctx, store.NewMemory().Client(), self)
	guard := idem.NewGuard(keys, ledger, claims)

	orders := 0
	run := func(context.Context) (*idem.Response, error) {
		orders++
		return idem.NewResponse(201, nil, fmt.Appendf(nil, "order %d", orders)), nil
	}
	for _, key := range []string{"a caller's own key", keys.Issue(time.Now())} {
		call := idem.Call{Account: "tshwane", Key: key, Method: "POST", Target: "/orders", Body: []byte("2 signs")}
		for range 2 {
			response, err := guard.Do(ctx, call, run)
			fmt.Println(response.Status(), string(response.Body()), err)
		}
	}
	// Output:
	// 201 order 1 <nil>
	// 201 order 1 <nil>
	// 201 order 2 <nil>
	// 201 order 2 <nil>
}
