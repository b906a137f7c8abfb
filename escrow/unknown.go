// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Routers of two versions write the same record during an upgrade, and each writes all of
// it. What a later version has put there and this one does not know is therefore kept and
// written back, unless the object that it belongs to has gone. A record without such fields,
// which is nearly every one, is decoded once, as before.

// unknownFields holds the fields of a stored object that this version does not know: values
// of its own, and for the objects that it does know their unknownFields.
type unknownFields map[string]any

// decodeKeeping decodes an object, and returns the fields that the target does not have.
// The target may hold defaults.
func decodeKeeping[T any](raw []byte, target *T) (unknownFields, error) {
	if decodeStrictly(raw, target) == nil {
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
	return missingIn(recognised, stored), nil
}

// decodeStrictly decodes an object, and fails if it has a field that the target lacks or
// is followed by anything.
func decodeStrictly(raw []byte, target any) error {
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

// errTrailing says that something follows the object.
var errTrailing = eris.New("escrow: something follows the object")

// decodeObject decodes an object as it is, with numbers as they are written.
func decodeObject(raw []byte) (map[string]any, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var object map[string]any
	err := decoder.Decode(&object)
	return object, err
}

// missingIn returns what is stored and not recognised.
func missingIn(recognised, stored map[string]any) unknownFields {
	var missing unknownFields
	for name, value := range stored {
		known, found := recognised[name]
		lacks := value
		if found {
			knownObject, isObject := known.(map[string]any)
			storedObject, wasObject := value.(map[string]any)
			if !isObject || !wasObject {
				continue
			}
			inside := missingIn(knownObject, storedObject)
			if len(inside) == 0 {
				continue
			}
			lacks = inside
		}
		if missing == nil {
			missing = unknownFields{}
		}
		missing[name] = lacks
	}
	return missing
}

// encodeKeeping encodes an object together with fields that it does not have.
func encodeKeeping(object any, unknown unknownFields) ([]byte, error) {
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

// addTo adds the fields to an object, those of objects that it lacks left out.
func (u unknownFields) addTo(object map[string]any) {
	for name, value := range u {
		inside, nested := value.(unknownFields)
		present, found := object[name]
		if !nested && !found {
			object[name] = value
		}
		if known, isObject := present.(map[string]any); nested && isObject {
			inside.addTo(known)
		}
	}
}
