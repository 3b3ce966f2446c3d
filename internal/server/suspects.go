package server

import "github.com/plantainrun/plantainrun/coord/outcome"

// noSuspects keeps no books.
type noSuspects struct{}

func (noSuspects) Admit(uint64) (bool, error)                  { return false, nil }
func (noSuspects) Started(uint64, string)                      {}
func (noSuspects) Ended(uint64, string, bool, outcome.Outcome) {}
