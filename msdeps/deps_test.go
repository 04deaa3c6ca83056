package msdeps

import (
	_ "github.com/anishathalye/porcupine"
	_ "github.com/stretchr/testify/require"
	_ "pgregory.net/rapid"
)
