package main

import (
	"bytes"
	"debug/elf"
	"encoding/binary"
	"os"

	"hornbeamwinch.example/jetty"
)

// version is that of the source. Each landing has another one.
const version = "0.13.0"

// currentBuild returns the version of the source and the id that the Go linker has written
// into this program, as go tool buildid prints it. The id is empty if it cannot be read.
func currentBuild() jetty.Build {
	return jetty.Build{Version: version, ID: readBuildID()}
}

func readBuildID() string {
	path, err := os.Executable()
	if err != nil {
		return ""
	}
	f, err := elf.Open(path)
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	section := f.Section(".note.go.buildid")
	if section == nil {
		return ""
	}
	note, err := section.Data()
	if err != nil {
		return ""
	}
	return parseBuildID(note, f.ByteOrder)
}

// parseBuildID returns the id in an ELF note: the sizes of a name and a description and a
// type, four bytes each, then the name and the description.
func parseBuildID(note []byte, order binary.ByteOrder) string {
	const headBytes = 12
	name := []byte("Go\x00\x00")
	if len(note) < headBytes+len(name) || !bytes.Equal(note[headBytes:headBytes+len(name)], name) {
		return ""
	}
	size := int(order.Uint32(note[4:]))
	id := note[headBytes+len(name):]
	if size > len(id) {
		return ""
	}
	return string(id[:size])
}
