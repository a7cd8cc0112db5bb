package note

import (
	"strings"
	"unique"
)

// intern deduplicates repeated strings and method lists in the decoded items of a
// bucket to save memory: 25,000 routes refer to 460 services and a few lists of methods,
// and 14,000 backend servers are in six availability zones.
func intern[T named](items []T) {
	switch list := any(items).(type) {
	case []Service:
		for i := range list {
			for j := range list[i].Servers {
				internString(&list[i].Servers[j].Zone)
			}
		}
	case []Route:
		internRoutes(list)
	case []Account:
		for i := range list {
			internString(&list[i].MaxClass)
		}
	}
}

func internRoutes(list []Route) {
	methodLists := map[string][]string{}
	for i := range list {
		t := &list[i]
		internString(&t.Service)
		internString(&t.Host)
		internString(&t.IdempotencyKey)
		internString(&t.Class)
		joined := strings.Join(t.Methods, " ")
		if shared, ok := methodLists[joined]; ok {
			t.Methods = shared
			continue
		}
		for j := range t.Methods {
			internString(&t.Methods[j])
		}
		methodLists[joined] = t.Methods
	}
}

func internString(s *string) {
	if *s != "" {
		*s = unique.Make(*s).Value()
	}
}
