// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// During an upgrade, routers of two versions write the same record, and each writes all
// of it. Fields that a later version added are therefore kept and written back, unless
// the object that has them is deleted. A record without such fields is decoded only
// once.

// unknownFields holds the fields of a stored object that this version does not know, by
// name. The value of an unknown field is its decoded JSON. A nested object that this
// version knows, but that has unknown fields, has an unknownFields as its value.
type unknownFields map[string]any

// decodeWithUnknown decodes an object, and returns the fields that the target does not
// have. The target may hold defaults.
func decodeWithUnknown[T any](raw []byte, target *T) (unknownFields, error) {
	if decodeStrict(raw, target) == nil {
		return nil, nil
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return nil, err
	}
	known, err := json.Marshal(target)
	if err != nil {
		return nil, err
	}
	stored, err := decodeObject(raw)
	if err != nil {
		return nil, err
	}
	recognised, err := decodeObject(known)
	if err != nil {
		return nil, err
	}
	return collectUnknown(recognised, stored), nil
}

// decodeStrict decodes an object, and fails if it has a field that the target lacks or
// is followed by more data.
func decodeStrict(raw []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if decoder.More() {
		return errTrailing
	}
	return nil
}

// errTrailing means that the object is followed by more data.
var errTrailing = eris.New("escrow: trailing data after the JSON object")

// decodeObject decodes an object into a map, and keeps numbers as they are written.
func decodeObject(raw []byte) (map[string]any, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var object map[string]any
	err := decoder.Decode(&object)
	return object, err
}

// collectUnknown returns the fields of stored that recognised does not have.
func collectUnknown(recognised, stored map[string]any) unknownFields {
	var missing unknownFields
	for name, value := range stored {
		known, found := recognised[name]
		unknown := value
		if found {
			knownObject, isObject := known.(map[string]any)
			storedObject, wasObject := value.(map[string]any)
			if !isObject || !wasObject {
				continue
			}
			nested := collectUnknown(knownObject, storedObject)
			if len(nested) == 0 {
				continue
			}
			unknown = nested
		}
		if missing == nil {
			missing = unknownFields{}
		}
		missing[name] = unknown
	}
	return missing
}

// encodeWithUnknown encodes an object together with its unknown fields.
func encodeWithUnknown(object any, unknown unknownFields) ([]byte, error) {
	raw, err := json.Marshal(object)
	if err != nil || len(unknown) == 0 {
		return raw, err
	}
	merged, err := decodeObject(raw)
	if err != nil {
		return nil, err
	}
	unknown.addTo(merged)
	return json.Marshal(merged)
}

// addTo adds the fields to an object. The fields of a nested object are dropped if the
// object does not have that nested object any more.
func (u unknownFields) addTo(object map[string]any) {
	for name, value := range u {
		fields, nested := value.(unknownFields)
		present, found := object[name]
		if !nested && !found {
			object[name] = value
		}
		if known, isObject := present.(map[string]any); nested && isObject {
			fields.addTo(known)
		}
	}
}
