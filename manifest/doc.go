// Package manifest parses, merges and compares routing rules files. Operators
// write a rules file to assign the keys of each service to failure domains.
//
// A rules file is plain text with one rule per line. Each rule ends with a
// comment that names who requested it:
//
//	route tank_readings *       to mvd_a  # Ana Silva: default home
//	route tank_readings tank-7* to mvd_b  # Luis Paz: jetty 7 moves first
//	route invoicing     *       to any    # Ana Silva: any server will do
//
// A pattern is a complete key, a prefix followed by an asterisk, or a single
// asterisk. If several patterns match a key, the most specific one applies: a
// complete key takes precedence over a prefix, and a longer prefix over a shorter
// one. The order of the lines is therefore irrelevant, so that two operators can
// edit different lines at the same time. Blank lines and lines that contain only
// a comment are kept but have no effect.
//
// # Usage
//
//	file, err := manifest.Parse("rules.txt", text)
//	if err != nil {
//		// err lists every error with file, line and column.
//	}
//	home, ok := file.Home("tank_readings", "tank-71")
//
// [Merge] combines two edits of a common base and reports conflicting changes of
// a rule. [DomainsLosingKeys] lists the failure domains that lose keys when one
// file replaces another.
package manifest
