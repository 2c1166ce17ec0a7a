// Package service defines the service record: the targets that serve callers
// and how the service's keys are divided among them.
//
// # Usage
//
//	spec, err := service.Decode(rec.Spec) // newest schema version
//	shard := spec.Shard("stock/beeswax-12")
package service

import (
	"encoding/json"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/internal/fields"
	"github.com/redwingtally/redwingtally/record"
)

// ErrSpec reports that a service's spec is malformed or breaks a rule.
var ErrSpec = eris.New("service: invalid spec")

// Limits of a service record.
const (
	MaxTargets     = 256
	MaxSlots       = 1024
	MaxShards      = 4096
	MaxConnections = 4096
	// MaxKeyLength is the greatest length of a key in bytes.
	MaxKeyLength = 1024
)

// Version is the newest schema version.
const Version = 2

// A Spec describes one service, at the newest schema version.
type Spec struct {
	// Targets are the servers of the service.
	Targets []Target `json:"targets"`
	// SlotsPerTarget is how many requests a target runs at a time.
	SlotsPerTarget int `json:"slots_per_target"`
	// ConnectionsPerTarget bounds the connections to a target.
	ConnectionsPerTarget int `json:"connections_per_target"`
	// Division is set when each key belongs to one target.
	Division *Division `json:"division,omitempty"`
	// Unknown holds fields of newer versions.
	Unknown fields.Unknown `json:"-"`
}

// A Division says how keys are divided among the targets.
type Division struct {
	// Shards is the number of shards that keys are hashed to.
	Shards int `json:"shards"`
	// ChecksGrants says that targets accept fenced grants and refuse work without one.
	ChecksGrants bool `json:"checks_grants"`
	// Unknown holds fields of newer versions.
	Unknown fields.Unknown `json:"-"`
}

// A Target is one server of a service.
type Target struct {
	// Name identifies the target within its service.
	Name string `json:"name"`
	// Address is where the target takes requests.
	Address netip.AddrPort `json:"address"`
	// DataCentre is where the target runs.
	DataCentre string `json:"data_centre"`
	// Leaving says that the target shall get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Unknown holds fields of newer versions.
	Unknown fields.Unknown `json:"-"`
}

// ShardOf returns the shard of key among n shards.
func ShardOf(key string, n int) int {
	return int(xxhash.Sum64String(key) % uint64(n))
}

// Shard returns the shard of key, or -1 when the service is not divided.
func (s Spec) Shard(key string) int {
	if s.Division == nil {
		return -1
	}
	return ShardOf(key, s.Division.Shards)
}

// Decode decodes and checks a spec of the newest version, or returns ErrSpec.
func Decode(spec json.RawMessage) (Spec, error) {
	var s Spec
	if err := json.Unmarshal(spec, &s); err != nil {
		return Spec{}, eris.Wrapf(ErrSpec, "%v", err)
	}
	if err := s.check(); err != nil {
		return Spec{}, err
	}
	return s, nil
}

func (s Spec) check() error {
	if len(s.Targets) == 0 || len(s.Targets) > MaxTargets {
		return eris.Wrapf(ErrSpec, "targets: %d is outside 1 to %d", len(s.Targets), MaxTargets)
	}
	if s.SlotsPerTarget < 1 || s.SlotsPerTarget > MaxSlots {
		return eris.Wrapf(ErrSpec, "slots_per_target: %d is outside 1 to %d", s.SlotsPerTarget, MaxSlots)
	}
	if s.ConnectionsPerTarget < s.SlotsPerTarget || s.ConnectionsPerTarget > MaxConnections {
		return eris.Wrapf(ErrSpec, "connections_per_target: %d is outside %d to %d", s.ConnectionsPerTarget, s.SlotsPerTarget, MaxConnections)
	}
	if d := s.Division; d != nil && (d.Shards < 1 || d.Shards > MaxShards) {
		return eris.Wrapf(ErrSpec, "division.shards: %d is outside 1 to %d", d.Shards, MaxShards)
	}
	seen := map[string]bool{}
	for i, t := range s.Targets {
		switch {
		case t.Name == "":
			return eris.Wrapf(ErrSpec, "targets[%d].name: is required", i)
		case seen[t.Name]:
			return eris.Wrapf(ErrSpec, "targets[%d].name: %q comes twice", i, t.Name)
		case !t.Address.IsValid() || t.Address.Port() == 0:
			return eris.Wrapf(ErrSpec, "targets[%d].address: is not an IP address and port", i)
		case t.DataCentre == "":
			return eris.Wrapf(ErrSpec, "targets[%d].data_centre: is required", i)
		}
		seen[t.Name] = true
	}
	return nil
}

// Kind returns the record kind "service".
func Kind() record.Kind {
	return record.Schema[Spec]{
		Name:      "service",
		Newest:    Version,
		Decode:    Decode,
		Unknown:   unknown,
		Upgrade:   upgrade,
		Downgrade: downgrade,
	}.Kind()
}

func unknown(s Spec) []string {
	names := s.Unknown.Names()
	for _, t := range s.Targets {
		names = append(names, t.Unknown.Names()...)
	}
	if s.Division != nil {
		names = append(names, s.Division.Unknown.Names()...)
	}
	return names
}
