package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireFile []byte

// wire has the names of the platform's protocol that the stand-ins speak. They stand in a file
// of their own, as the Go packages outside of platform/ hold none of them.
var wire = loadWire()

type wireNames struct {
	ID        string `json:"id"`        // Header with the id of an attempt.
	Deadline  string `json:"deadline"`  // Header with the milliseconds that are left.
	Expect    string `json:"expect"`    // Header with the id of the worker that is meant.
	Signature string `json:"signature"` // Header of a worker's answer.
	Instance  string `json:"instance"`  // Header with the id of the worker that answers.
	NotRun    string `json:"not-run"`   // Header of an answer to a request that was not run.
	Prefix    string `json:"prefix"`    // Field of a route.
	Revision  string `json:"revision"`  // Field of listings and events.
}

func loadWire() wireNames {
	var names wireNames
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err)
	}
	return names
}
