/* The fold takes a claim from memory like any other: the first record has the key. */
#define BROKEN_MEMORY
#include "claims.pml"
