// Package charter reads the settings of an entry host.
//
// Settings are one JSON file. Unknown fields are errors, and a file is checked
// as a whole: the error names every faulty field with its unit.
//
// # Usage
//
//	settings, err := charter.Load("settings/terminal.json")
//	if err != nil {
//		// err lists every fault by the path of its field.
//	}
package charter
