// Package service defines the service record: the targets of a service and how
// its keys are divided among them.
//
// # Usage
//
//	spec, err := service.Decode(rec.Spec) // newest schema version
//	shard := spec.ShardOf("stock/beeswax-12")
package service

import (
	"encoding/json"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/internal/fields"
	"github.com/redwingtally/redwingtally/record"
)

// ErrSpec reports that a spec of a service record is malformed or invalid.
var ErrSpec = eris.New("service: invalid spec")

// Limits of a service record.
const (
	// MaxTargets is the maximum number of targets of a service.
	MaxTargets = 256
	// MaxSlotsPerTarget is the maximum of Spec.SlotsPerTarget.
	MaxSlotsPerTarget = 1024
	// MaxShards is the maximum number of shards of a service.
	MaxShards = 4096
	// MaxConnectionsPerTarget is the maximum of Spec.ConnectionsPerTarget.
	MaxConnectionsPerTarget = 4096
	// MaxKeyLength is the maximum length of a key in bytes.
	MaxKeyLength = 1024
)

// SchemaVersion is the newest schema version of the service record.
const SchemaVersion = 2

// Spec describes one service at the newest schema version.
type Spec struct {
	// Targets are the processes that serve the service's requests.
	Targets []Target `json:"targets"`
	// SlotsPerTarget is the number of requests that a target processes concurrently.
	SlotsPerTarget int `json:"slots_per_target"`
	// ConnectionsPerTarget is the maximum number of connections to a target.
	ConnectionsPerTarget int `json:"connections_per_target"`
	// Division is set if each key is owned by one target.
	Division *Division `json:"division,omitempty"`
	// UnknownFields holds the fields that this program does not know.
	UnknownFields fields.Unknown `json:"-"`
}

// Division configures how keys are divided among the targets.
type Division struct {
	// Shards is the number of shards that keys are hashed to.
	Shards int `json:"shards"`
	// ChecksGrants reports whether the targets accept fenced grants and reject
	// requests for shards that they have no grant for.
	ChecksGrants bool `json:"checks_grants"`
	// UnknownFields holds the fields that this program does not know.
	UnknownFields fields.Unknown `json:"-"`
}

// Target is one process that serves a service's requests.
type Target struct {
	// Name identifies the target within its service.
	Name string `json:"name"`
	// Address is the IP address and port of the target.
	Address netip.AddrPort `json:"address"`
	// DataCentre is the data centre that the target runs in.
	DataCentre string `json:"data_centre"`
	// Leaving reports whether the target is being withdrawn and gets no new
	// requests.
	Leaving bool `json:"leaving,omitempty"`
	// UnknownFields holds the fields that this program does not know.
	UnknownFields fields.Unknown `json:"-"`
}

// ShardOf returns the shard of key in a service with n shards.
func ShardOf(key string, n int) int {
	return int(xxhash.Sum64String(key) % uint64(n))
}

// ShardOf returns the shard of key, or -1 if the service is not divided by key.
func (s Spec) ShardOf(key string) int {
	if s.Division == nil {
		return -1
	}
	return ShardOf(key, s.Division.Shards)
}

// Decode decodes and validates a spec of the newest version. It returns ErrSpec
// if the spec is malformed or invalid.
func Decode(spec json.RawMessage) (Spec, error) {
	var s Spec
	if err := json.Unmarshal(spec, &s); err != nil {
		return Spec{}, eris.Wrapf(ErrSpec, "%v", err)
	}
	if err := s.validate(); err != nil {
		return Spec{}, err
	}
	return s, nil
}

func (s Spec) validate() error {
	if len(s.Targets) == 0 || len(s.Targets) > MaxTargets {
		return eris.Wrapf(ErrSpec, "targets: %d is outside 1 to %d", len(s.Targets), MaxTargets)
	}
	if s.SlotsPerTarget < 1 || s.SlotsPerTarget > MaxSlotsPerTarget {
		return eris.Wrapf(ErrSpec, "slots_per_target: %d is outside 1 to %d", s.SlotsPerTarget, MaxSlotsPerTarget)
	}
	if s.ConnectionsPerTarget < s.SlotsPerTarget || s.ConnectionsPerTarget > MaxConnectionsPerTarget {
		return eris.Wrapf(ErrSpec, "connections_per_target: %d is outside %d to %d", s.ConnectionsPerTarget, s.SlotsPerTarget, MaxConnectionsPerTarget)
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
		Name:          "service",
		NewestVersion: SchemaVersion,
		Decode:        Decode,
		UnknownFields: unknownFields,
		Upgrade:       upgrade,
		Downgrade:     downgrade,
	}.Kind()
}

// unknownFields returns the names of the unknown fields of s.
func unknownFields(s Spec) []string {
	names := s.UnknownFields.Names()
	for _, t := range s.Targets {
		names = append(names, t.UnknownFields.Names()...)
	}
	if s.Division != nil {
		names = append(names, s.Division.UnknownFields.Names()...)
	}
	return names
}
