// Package charter reads and validates the settings of an entry host.
//
// The settings are a single JSON file. Unknown fields are errors. Validation
// covers the whole file, and its error lists every invalid field; the names of the
// fields include their units.
//
// # Usage
//
//	settings, err := charter.Load("settings/terminal.json")
//	if err != nil {
//		// err lists every invalid field by its path.
//	}
package charter
