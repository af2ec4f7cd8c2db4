package main

import (
	"asterridge/config"
	"asterridge/controlplane"
)

// namesBetween reads NAME WORD NAME WORD NAME … and returns the names. In words, each expected word is followed by the kind of the name
// after it.
func (r *reader) namesBetween(first string, words ...string) (names []string, err error) {
	name, err := r.name(first)
	names = append(names, name)
	for i := 0; err == nil && i < len(words); i += 2 {
		if _, err = r.expectWord(words[i]); err == nil {
			name, err = r.name(words[i+1])
			names = append(names, name)
		}
	}
	return names, err
}

// build reads the rest of an "accept build" command. It returns err if the word after "accept" could not be read.
func (r *reader) build(err error) (command, error) {
	if err != nil {
		return command{}, err
	}
	n, err := r.namesBetween("build", "of", "adapter", "for", "model")
	if err != nil {
		return command{}, err
	}
	return mergeCommand(map[string]any{"adapters": []any{map[string]any{"name": n[1], "builds": map[string]string{n[2]: n[0]}}}}, "known"), nil
}

// retireModel reads the rest of a "retire model" command. It returns err if the word after "retire" could not be read.
func (r *reader) retireModel(err error) (command, error) {
	if err != nil {
		return command{}, err
	}
	n, err := r.namesBetween("model", "for", "model")
	if err != nil {
		return command{}, err
	}
	return retirementCommand(&controlplane.RetirementChange{Action: "retire", Old: n[0], New: n[1]}), nil
}

// retirementCommand returns the command that starts or undoes a retirement.
func retirementCommand(change *controlplane.RetirementChange) command {
	return command{order: "retirement", body: change, key: &change.Key, register: config.RetirementKey}
}

// undo reads the rest of an "undo" command. The model may be omitted if only one retirement is in progress.
func (r *reader) undo() (command, error) {
	_, err := r.expectWord("retirement")
	o := &controlplane.RetirementChange{Action: "undo"}
	if err == nil && !r.atEnd() {
		if _, err = r.expectWord("of"); err == nil {
			o.Old, err = r.name("model")
		}
	}
	return retirementCommand(o), err
}
