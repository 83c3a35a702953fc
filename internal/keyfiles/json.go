package keyfiles

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// checkUniqueMembers returns an error if an object in a valid JSON text has two members of one name: encoding/json
// would use the last one only.
func checkUniqueMembers(text []byte) error {
	return checkValue(json.NewDecoder(bytes.NewReader(text)))
}

// checkValue reads the next value, and checks the objects in it.
func checkValue(decoder *json.Decoder) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	isObject := token == json.Delim('{')
	if !isObject && token != json.Delim('[') {
		return nil
	}
	seen := map[string]bool{}
	for decoder.More() {
		if isObject {
			if err := checkName(decoder, seen); err != nil {
				return err
			}
		}
		if err := checkValue(decoder); err != nil {
			return err
		}
	}
	_, err = decoder.Token() // the end of the object or array
	return err
}

// checkName reads the name of an object's member, and adds it to those seen before.
func checkName(decoder *json.Decoder, seen map[string]bool) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	name, _ := token.(string)
	if seen[name] {
		return fmt.Errorf("member %q appears twice", name)
	}
	seen[name] = true
	return nil
}
