// Package operator is what the operators' command does: it validates, compares,
// applies and reads records, and reads status from daemons.
//
// # Usage
//
//	op := operator.New(store, redwingtally.Records())
//	results, err := op.Apply(ctx, records)
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/catalogue"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/record"
)

// ErrConflict reports that a record was changed by somebody else since it was read.
var ErrConflict = eris.New("operator: conflict")

// ErrNoBase reports that a changed record does not name the version it was based on.
var ErrNoBase = eris.New("operator: the record names no version that it was based on")

// ErrUnavailable reports that the platform gave no answer.
var ErrUnavailable = eris.New("operator: platform unavailable")

// ErrNotFound reports that there is no such record.
var ErrNotFound = eris.New("operator: no such record")

// An Operator works on the records in the store.
type Operator struct {
	store    *platform.Store
	registry *record.Registry
}

// New returns an Operator.
func New(store *platform.Store, registry *record.Registry) *Operator {
	return &Operator{store: store, registry: registry}
}

// Validate checks records and returns warnings, or the first error of the record package.
func (o *Operator) Validate(records []record.Record) ([]string, error) {
	var warnings []string
	for _, r := range records {
		if err := o.registry.Validate(r); err != nil {
			return nil, err
		}
		for _, name := range o.registry.Warnings(r) {
			warnings = append(warnings, fmt.Sprintf("%s: field %q is not known and has no effect", r.Key(), name))
		}
	}
	return warnings, nil
}

// Get returns a record with the version that it is based on, converted to
// schemaVersion unless that is 0.
func (o *Operator) Get(ctx context.Context, kind, name string, schemaVersion int) (record.Record, error) {
	obj, err := o.store.Get(ctx, catalogue.ObjectKind, catalogue.ObjectName(kind, name))
	if err != nil {
		return record.Record{}, translate(err)
	}
	r, err := record.Decode(obj.Value)
	if err != nil {
		return record.Record{}, err
	}
	if schemaVersion != 0 {
		if r, err = o.registry.Convert(r, schemaVersion); err != nil {
			return record.Record{}, err
		}
	}
	r.BasedOn = uint64(obj.Version)
	return r, nil
}

// List returns all records with their versions.
func (o *Operator) List(ctx context.Context) ([]record.Record, error) {
	objects, err := o.store.List(ctx, catalogue.ObjectKind)
	if err != nil {
		return nil, translate(err)
	}
	var out []record.Record
	for _, obj := range objects {
		r, err := record.Decode(obj.Value)
		if err != nil {
			return nil, err
		}
		r.BasedOn = uint64(obj.Version)
		out = append(out, r)
	}
	return out, nil
}

// A Change says what applying a record does or did.
type Change string

// The changes.
const (
	ChangeCreated   Change = "created"
	ChangeUpdated   Change = "updated"
	ChangeUnchanged Change = "unchanged"
)

// A Result is the outcome of one record.
type Result struct {
	Record  record.Record
	Change  Change
	Version platform.Version
}

// Apply writes records in order, each under the condition that the store still
// has the version that it was based on. It stops at the first failure; the
// results tell what stands. It returns ErrConflict, ErrNoBase, ErrUnavailable
// or an error of the record package.
func (o *Operator) Apply(ctx context.Context, records []record.Record) ([]Result, error) {
	if _, err := o.Validate(records); err != nil {
		return nil, err
	}
	var results []Result
	for _, r := range records {
		result, err := o.applyOne(ctx, r)
		if err != nil {
			return results, eris.Wrap(err, r.Key())
		}
		results = append(results, result)
	}
	return results, nil
}

func (o *Operator) applyOne(ctx context.Context, r record.Record) (Result, error) {
	base := r.BasedOn
	r.BasedOn = 0
	name := catalogue.ObjectName(r.Kind, r.Name)
	have, err := o.store.Get(ctx, catalogue.ObjectKind, name)
	if err != nil && !eris.Is(err, platform.ErrNotFound) {
		return Result{}, translate(err)
	}
	exists := err == nil
	if exists {
		if old, err := record.Decode(have.Value); err == nil && record.Equal(old, r) {
			return Result{Record: r, Change: ChangeUnchanged, Version: have.Version}, nil
		}
	}
	switch {
	case exists && base == 0:
		return Result{}, eris.Wrapf(ErrNoBase, "the store has version %d; get it, or name it with --based-on", have.Version)
	case exists && uint64(have.Version) != base, !exists && base != 0:
		return Result{}, eris.Wrapf(ErrConflict, "based on version %d, the store has version %d", base, have.Version)
	}
	value, err := json.Marshal(r)
	if err != nil {
		return Result{}, eris.Wrapf(record.ErrMalformed, "%v", err)
	}
	obj, err := o.store.PutConfirmed(ctx, catalogue.ObjectKind, name, value, platform.IfVersion(platform.Version(base)))
	if err != nil {
		return Result{}, translate(err)
	}
	change := ChangeCreated
	if exists {
		change = ChangeUpdated
	}
	return Result{Record: r, Change: change, Version: obj.Version}, nil
}

// Delete removes a record under the condition that it has the version base.
func (o *Operator) Delete(ctx context.Context, kind, name string, base uint64) error {
	err := o.store.Delete(ctx, catalogue.ObjectKind, catalogue.ObjectName(kind, name), platform.IfVersion(platform.Version(base)))
	if err != nil {
		return translate(err)
	}
	return nil
}

// A Difference is a record in a file beside the one in the store.
type Difference struct {
	Record record.Record
	// Lines are the lines that differ, with "-" for the store and "+" for the file.
	Lines []string
}

// Diff compares records with the store at their newest schema versions.
func (o *Operator) Diff(ctx context.Context, records []record.Record) ([]Difference, error) {
	var out []Difference
	for _, r := range records {
		r.BasedOn = 0
		have, err := o.Get(ctx, r.Kind, r.Name, 0)
		if err != nil && !eris.Is(err, ErrNotFound) {
			return nil, err
		}
		var old []byte
		if err == nil {
			have.BasedOn = 0
			if old, err = o.newest(have); err != nil {
				return nil, err
			}
		}
		now, err := o.newest(r)
		if err != nil {
			return nil, err
		}
		out = append(out, Difference{Record: r, Lines: diffLines(string(old), string(now))})
	}
	return out, nil
}

func (o *Operator) newest(r record.Record) ([]byte, error) {
	n, err := o.registry.Newest(r)
	if err != nil {
		return nil, err
	}
	return record.Encode(n)
}

// InForcePoll is how often AwaitInForce asks the daemons.
const InForcePoll = 200 * time.Millisecond

func translate(err error) error {
	switch {
	case eris.Is(err, platform.ErrNotFound):
		return eris.Wrapf(ErrNotFound, "%v", err)
	case eris.Is(err, platform.ErrConflict):
		return eris.Wrapf(ErrConflict, "%v", err)
	}
	return eris.Wrapf(ErrUnavailable, "%v", err)
}
