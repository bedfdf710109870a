package afobject

import (
	"bytes"
	"context"
	"encoding/json"
	"reflect"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// maxWriteAttempts limits how often WriteWithReadback and DeleteWithReadback send the same conditional write.
const maxWriteAttempts = 3

// WriteWithReadback creates the object if its Version is zero and updates it otherwise. If the answer is lost, it reads
// the object: the write has taken effect if the stored object has a newer version and the same content. The content
// must name the writer if the caller has to tell its own write from an equal one of another writer.
//
// If the stored object is unchanged, WriteWithReadback sends the write again. The write is conditional and takes effect
// at most once. After a lost answer, VersionConflict may also mean that the write took effect and another writer then
// overwrote it. WriteWithReadback fails with OutcomeUnknown if the object cannot be read, or if the answers to all
// attempts were lost.
func (c *Client) WriteWithReadback(ctx context.Context, o Object) (Object, error) {
	var err error
	for attempt := range maxWriteAttempts {
		var written Object
		if o.Version == 0 {
			written, err = c.Create(ctx, o)
		} else {
			written, err = c.Update(ctx, o)
		}
		if err == nil {
			return written, nil
		}
		if attempt > 0 {
			err = errorAfterUnknownOutcome(err)
		}
		// After a lost answer, a version conflict may be due to the earlier attempt having taken effect.
		if !IsKind(err, OutcomeUnknown) && (attempt == 0 || !IsKind(err, VersionConflict)) {
			return Object{}, err
		}
		current, readErr := c.Get(ctx, o.Kind, o.Name)
		switch {
		case readErr == nil && o.Version != 0 && afversion.Era(current.Version) != afversion.Era(o.Version):
			// The write may have replaced an object that the caller has not read.
			return Object{}, &Error{Op: "write", Object: o.Kind + "/" + o.Name, Kind: VersionConflict}
		case readErr == nil && current.Version > o.Version && equalSpecs(current.Spec, o.Spec):
			return current, nil
		case readErr == nil && current.Version != o.Version,
			IsKind(readErr, ObjectNotFound) && o.Version != 0:
			return Object{}, &Error{Op: "write", Object: o.Kind + "/" + o.Name, Kind: VersionConflict}
		case readErr != nil && !IsKind(readErr, ObjectNotFound):
			return Object{}, err
		}
	}
	return Object{}, err
}

// errorAfterUnknownOutcome returns the error of a repeated write. PlatformUnavailable becomes OutcomeUnknown, because an
// earlier attempt may have taken effect even though this attempt was not executed.
func errorAfterUnknownOutcome(err error) error {
	if e, ok := errors.Into[*Error](err); ok && e.Kind == PlatformUnavailable {
		return &Error{Op: e.Op, Object: e.Object, Kind: OutcomeUnknown, Err: e.Err}
	}
	return err
}

// DeleteWithReadback deletes the object if its version equals the argument. If the answer is lost, it reads the object
// as WriteWithReadback does. It returns nil if the object no longer exists, whoever deleted it.
func (c *Client) DeleteWithReadback(ctx context.Context, kind, name string, version int64) error {
	var err error
	for attempt := range maxWriteAttempts {
		err = c.Delete(ctx, kind, name, version)
		if attempt > 0 {
			if IsKind(err, ObjectNotFound) {
				return nil
			}
			err = errorAfterUnknownOutcome(err)
		}
		if !IsKind(err, OutcomeUnknown) {
			return err
		}
		current, readErr := c.Get(ctx, kind, name)
		switch {
		case IsKind(readErr, ObjectNotFound):
			return nil
		case readErr != nil:
			return err
		case current.Version != version:
			return &Error{Op: "remove", Object: kind + "/" + name, Kind: VersionConflict}
		}
	}
	return err
}

// equalSpecs reports whether two specs are equal as JSON values, because the platform may store a spec with other spacing or
// another order of keys.
func equalSpecs(a, b json.RawMessage) bool {
	if bytes.Equal(a, b) {
		return true
	}
	x, errX := decodeSpec(a)
	y, errY := decodeSpec(b)
	return errX == nil && errY == nil && reflect.DeepEqual(x, y)
}

// decodeSpec decodes a spec as a JSON value and keeps the digits of its numbers.
func decodeSpec(b json.RawMessage) (any, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var v any
	err := d.Decode(&v)
	return v, err
}
