package proxy

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/note"
)

type account struct {
	name  string
	rate  float64 // Requests per second.
	burst int
	class limit.Class // Highest priority class that its requests may have.
}

type accounts struct {
	byDigest map[[sha256.Size]byte]*account
	byName   map[string]*account
}

// newAccounts indexes accounts by name and token digest. It skips accounts with a
// malformed digest.
func newAccounts(list []note.Account) *accounts {
	out := &accounts{
		byDigest: make(map[[sha256.Size]byte]*account, len(list)),
		byName:   make(map[string]*account, len(list)),
	}
	for _, n := range list {
		raw, err := hex.DecodeString(n.TokenDigest)
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		a := &account{name: n.Name, rate: n.Rate, burst: n.Burst}
		if n.MaxClass != "" {
			a.class = parseClass(n.MaxClass)
		}
		out.byDigest[[sha256.Size]byte(raw)] = a
		out.byName[n.Name] = a
	}
	return out
}

// byToken returns the account with the given token, or nil. It compares digests only,
// so the lookup time leaks nothing about tokens.
func (a *accounts) byToken(token string) *account {
	return a.byDigest[sha256.Sum256([]byte(token))]
}
