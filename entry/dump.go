package entry

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/deploy"
	"github.com/azuredeal/azuredeal/idem"
	"github.com/azuredeal/azuredeal/member"
	"github.com/azuredeal/azuredeal/proxy"
)

// Dump is the state of an entry VM's process. It holds no secrets.
type Dump struct {
	Name            string                   `json:"name"`
	Zone            string                   `json:"zone"`
	Incarnation     uint64                   `json:"incarnation"`
	Generation      uint64                   `json:"generation"`
	Leaving         bool                     `json:"leaving"`
	IdempotencyKeys int                      `json:"keys"` // In the ledger.
	Board           BoardDump                `json:"board"`
	Release         *deploy.FollowerDump     `json:"release,omitempty"`   // Without a source.
	Publisher       *deploy.PublishStats     `json:"publisher,omitempty"` // Likewise.
	Members         member.Dump              `json:"members"`
	Health          map[string][]ServerState `json:"health"`
	Traffic         []proxy.ServiceDump      `json:"traffic"`
}

// BoardDump is the state of the control loop.
type BoardDump struct {
	Steps          uint64 `json:"steps"`
	DroppedSamples uint64 `json:"dropped"` // Samples that the loop could not take.
}

// Dump returns the state of the VM. It fails when the control loop does not
// answer before ctx ends.
func (v *VM) Dump(ctx context.Context) (*Dump, error) {
	b := part[*board.Board](v)
	var health map[string][]ServerState
	if err := b.Do(ctx, func(now time.Time) { health = v.health.dump(now) }); err != nil {
		return nil, err
	}
	out := &Dump{
		Name:            v.settings.Name,
		Zone:            v.settings.Zone,
		Incarnation:     v.incarnation,
		Generation:      v.Generation(),
		Leaving:         v.callers.leaving.Load(),
		IdempotencyKeys: part[*idem.Ledger](v).Len(),
		Board:           BoardDump{Steps: b.Steps(), DroppedSamples: b.DroppedSamples()},
		Members:         part[*member.Driver](v).Dump(),
		Health:          health,
		Traffic:         part[*proxy.Handler](v).Dump(),
	}
	if v.opts.ReleaseSource == nil {
		out.Release = lo.ToPtr(part[*deploy.Follower](v).Dump())
		out.Publisher = lo.ToPtr(part[*deploy.Publisher](v).Stats())
	}
	return out, nil
}

// Addresses answers which VMs a caller in the given zone should use: nearest zone
// first, VMs that are leaving or suspected left out.
func (v *VM) Addresses(zone string) []Address {
	if zone == "" {
		zone = v.settings.Zone
	}
	snapshot := part[*member.Driver](v).Snapshot()
	zones := lo.SliceToMap(snapshot.Alive(), func(m member.Member) (string, string) { return m.Entry(), m.Zone() })
	out := lo.Map(snapshot.EntryAddrs(zone, v.settings.Name), func(addr string, _ int) Address {
		return Address{Addr: addr, Zone: zones[addr]}
	})
	rank := v.distance(zone)
	slices.SortStableFunc(out, func(a, b Address) int { return rank(a.Zone) - rank(b.Zone) })
	return out
}

// distance returns the order of zones for a caller in the given zone: that zone,
// then those of the settings in their order, then all others.
func (v *VM) distance(zone string) func(other string) int {
	return func(other string) int {
		if other == zone {
			return -1
		}
		if i := slices.Index(v.settings.Zones, other); i >= 0 {
			return i
		}
		return len(v.settings.Zones)
	}
}
