/* A settlement "not-run" frees the key at once in the table of the entry that takes it. */
#define BROKEN_LOCAL
#include "claims.pml"
