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

// Dump is a snapshot of an entry VM's state for debugging. It contains no secrets.
type Dump struct {
	Name            string                   `json:"name"`
	Zone            string                   `json:"zone"`
	Incarnation     uint64                   `json:"incarnation"`
	Generation      uint64                   `json:"generation"`
	Leaving         bool                     `json:"leaving"`
	IdempotencyKeys int                      `json:"keys"` // Keys in the ledger.
	Board           BoardDump                `json:"board"`
	Release         *deploy.FollowerDump     `json:"release,omitempty"`   // Only without a ReleaseSource.
	Publisher       *deploy.PublishStats     `json:"publisher,omitempty"` // Only without a ReleaseSource.
	Members         member.Dump              `json:"members"`
	Health          map[string][]ServerState `json:"health"`
	Traffic         []proxy.ServiceDump      `json:"traffic"`
	Suspects        []SuspectDump            `json:"suspects,omitempty"` // Requests that may crash backend servers.
}

// BoardDump is the state of the control loop.
type BoardDump struct {
	Steps          uint64 `json:"steps"`
	DroppedSamples uint64 `json:"dropped"` // Samples dropped because the loop was behind.
}

// Dump returns a snapshot of the VM's state. It fails when the control loop doesn't
// respond before ctx is done.
func (v *VM) Dump(ctx context.Context) (*Dump, error) {
	b := component[*board.Board](v)
	var health map[string][]ServerState
	if err := b.Do(ctx, func(now time.Time) { health = v.health.dump(now) }); err != nil {
		return nil, err
	}
	out := &Dump{
		Name:            v.settings.Name,
		Zone:            v.settings.Zone,
		Incarnation:     v.incarnation,
		Generation:      v.Generation(),
		Leaving:         v.callerAPI.leaving.Load(),
		IdempotencyKeys: component[*idem.Ledger](v).Len(),
		Board:           BoardDump{Steps: b.Steps(), DroppedSamples: b.DroppedSamples()},
		Members:         component[*member.Driver](v).Dump(),
		Health:          health,
		Traffic:         component[*proxy.Handler](v).Dump(),
		Suspects:        v.suspects.dump(time.Now()),
	}
	if v.opts.ReleaseSource == nil {
		out.Release = lo.ToPtr(component[*deploy.Follower](v).Dump())
		out.Publisher = lo.ToPtr(component[*deploy.Publisher](v).Stats())
	}
	return out, nil
}

// Addresses returns the VMs that a caller in the given availability zone should use,
// nearest zone first, without VMs that are leaving or suspected. An empty zone means that
// of this VM.
func (v *VM) Addresses(zone string) []Address {
	if zone == "" {
		zone = v.settings.Zone
	}
	snapshot := component[*member.Driver](v).Snapshot()
	zones := lo.SliceToMap(snapshot.Alive(), func(m member.Member) (string, string) { return m.Entry(), m.Zone() })
	out := lo.Map(snapshot.EntryAddrs(zone, v.settings.Name), func(addr string, _ int) Address {
		return Address{Addr: addr, Zone: zones[addr]}
	})
	rank := v.zoneOrder(zone)
	slices.SortStableFunc(out, func(a, b Address) int { return rank(a.Zone) - rank(b.Zone) })
	return out
}

// zoneOrder returns the rank of availability zones for a caller in the given zone, lowest
// first: that zone, then those of the settings in their order, then all others.
func (v *VM) zoneOrder(zone string) func(other string) int {
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
