package member

import (
	"maps"
	"slices"
	"time"

	"github.com/azuredeal/azuredeal/wire"
)

const (
	// maxRates bounds the backend servers whose stated rates this VM passes on.
	maxRates = 2048
	// maxRateAge is the age above which a rate is not sent on a new link.
	maxRateAge = 30 * time.Second
)

// rateEntry is the newest request rate that a backend server stated to this VM.
type rateEntry struct {
	rate     *wire.Rate
	statedAt time.Time
}

// QueueRates queues request rates that backend servers stated to this VM on the links that
// events are sent on. A link that comes up later gets the newest rate of each server.
func (v *View) QueueRates(now time.Time, rates []*wire.Rate) {
	maps.DeleteFunc(v.rates, func(_ uint64, e rateEntry) bool { return now.Sub(e.statedAt) > maxRateAge })
	for _, r := range rates {
		if _, known := v.rates[r.GetServer()]; !known && len(v.rates) >= maxRates {
			continue
		}
		v.rates[r.GetServer()] = rateEntry{rate: r, statedAt: now.Add(-time.Duration(r.GetAge()) * time.Millisecond)}
	}
	for _, l := range v.links {
		for _, r := range rates {
			l.rates[r.GetServer()] = true
		}
	}
}

// RatesNow makes a heartbeat due on every link with queued rates.
func (v *View) RatesNow(now time.Time) {
	v.detectPause(now)
	for _, l := range v.links {
		if len(l.rates) > 0 && v.sendsEventsTo(l) {
			l.nextHeartbeat = now
		}
	}
}

// queuedRates removes the rates queued on a link and returns them with their age.
func (v *View) queuedRates(now time.Time, l *link) []*wire.Rate {
	defer clear(l.rates)
	if !v.sendsEventsTo(l) {
		return nil
	}
	var out []*wire.Rate
	for _, server := range slices.Sorted(maps.Keys(l.rates)) {
		if e, ok := v.rates[server]; ok {
			out = append(out, &wire.Rate{
				Server: server, Limit: e.rate.GetLimit(), Unlimited: e.rate.GetUnlimited(),
				Age: uint32(now.Sub(e.statedAt).Milliseconds()),
			})
		}
	}
	return out
}

// ratesOfNewLink returns the servers whose rates a new link gets.
func (v *View) ratesOfNewLink(now time.Time) map[uint64]bool {
	out := map[uint64]bool{}
	for server, e := range v.rates {
		if now.Sub(e.statedAt) <= maxRateAge {
			out[server] = true
		}
	}
	return out
}
