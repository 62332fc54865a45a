package charter

import (
	"embed"
	"os"
)

//go:embed examples/*.json
var examples embed.FS

// Names of the example settings in the directory examples.
const (
	ExampleTerminal   = "terminal"
	ExampleHiloChapin = "hilo_chapin"
)

// Example returns the example settings with the given name.
func Example(name string) (*Settings, error) {
	file := "examples/" + name + ".json"
	text, err := examples.ReadFile(file)
	if err != nil {
		return nil, &Error{Op: "read settings", Kind: KindRead, File: file, Problems: []string{os.ErrNotExist.Error()}}
	}
	return Parse(file, text)
}
