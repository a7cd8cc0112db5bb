package note_test

import (
	"fmt"

	"github.com/azuredeal/azuredeal/note"
)

func ExampleApply() {
	n, err := note.Parse([]byte(`{"id": "2026-03-signs", "base": 0, "added": {
		"services": [{"name": "registry", "servers": [{"addr": "10.0.0.7:8080", "zone": "east"}]}],
		"routes": [{"name": "orders", "service": "register", "path": "/orders", "methods": ["POST"]}]}}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	_, problems := note.Apply(nil, n)
	fmt.Println(problems)
	n.Added.Routes[0].Service = "registry"
	rel, _ := note.Apply(nil, n)
	order, _ := rel.Route("orders")
	fmt.Println(rel.Generation(), order.IdempotencyKey)
	// Output:
	// 1 problems: added.routes[0].service: "register" is not allowed; allowed: a service that exists after the note
	// 1 required
}
