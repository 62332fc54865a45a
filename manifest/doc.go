// Package manifest reads and compares the operators' rules file, which says
// in which failure domain the requests for each key are served.
//
// A rules file is plain text with one rule a line. Each rule ends in a comment
// that names who asked for it:
//
//	route tank_readings *       to mvd_a  # Ana Silva: default home
//	route tank_readings tank-7* to mvd_b  # Luis Paz: jetty 7 moves first
//	route invoicing     *       to any    # Ana Silva: any worker will do
//
// A pattern is a whole key, a prefix followed by an asterisk, or a lone
// asterisk. The most specific pattern that matches a key decides: a whole key
// comes before a prefix, and a longer prefix comes before a shorter one. The
// order of the lines therefore has no meaning, which lets two operators edit
// different lines at the same time. Blank lines and lines that hold only a
// comment are kept but have no effect.
//
// # Usage
//
//	file, err := manifest.Parse("rules.txt", text)
//	if err != nil {
//		// err lists every fault with file, line and column.
//	}
//	home, ok := file.Home("tank_readings", "tank-71")
//
// [Merge] combines two edits of one base and reports the rules on which they
// clash. [DomainsLosingKeys] lists the failure domains that lose keys between two
// files.
package manifest
