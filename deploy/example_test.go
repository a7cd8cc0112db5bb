package deploy_test

import (
	"context"
	"fmt"

	"github.com/azuredeal/azuredeal/deploy"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/store"
)

func ExamplePublisher_Publish() {
	p := deploy.NewPublisher(store.NewMemory().Client())
	n := &note.Note{ID: "first", Added: note.Items{
		Services: []note.Service{{Name: "registry", Servers: []note.Server{{Addr: "10.0.0.1:80", Zone: "a"}}}},
	}}
	generation, err := p.Publish(context.Background(), n)
	fmt.Println(generation, err)
	generation, err = p.Publish(context.Background(), n) // Retry after a lost response.
	fmt.Println(generation, err)
	_, err = p.Publish(context.Background(), &note.Note{ID: "second", Withdrawn: note.ItemNames{Services: []string{"registry"}}})
	fmt.Println(err)
	// Output:
	// 1 <nil>
	// 1 <nil>
	// the note is written against generation 0; the current generation is 1
}
