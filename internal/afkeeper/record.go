package afkeeper

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/pkg/aflease"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// maxLeaseCount bounds the epoch and the number of renewals in a record of the lease, so that adding to them never overflows. It
// is above the epochs of all eras but the last half.
const maxLeaseCount = 1 << 62

// decodeLease decodes the record of the lease. For a record that no holder can have written, it returns an error and a record
// without a holder from which the next epoch follows: above the known epoch and above all earlier ones, since each epoch is a
// write and raises the version.
func decodeLease(o afobject.Object, knownEpoch int64) (aflease.Record, error) {
	var r aflease.Record
	err := json.Unmarshal(o.Spec, &r)
	if err == nil && (r.Holder == "" || r.Epoch < 0 || r.Epoch > maxLeaseCount || r.RenewalCount < 0 || r.RenewalCount > maxLeaseCount) {
		err = errors.Errorf("holder %q, epoch %d or beat %d is out of range", r.Holder, r.Epoch, r.RenewalCount)
	}
	if err != nil {
		return aflease.Record{Epoch: max(knownEpoch, o.Version)}, err
	}
	return r, nil
}
