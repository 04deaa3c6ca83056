/* Freshness counts from the answer of a read in place of its beginning. */
#define BROKEN_ANSWER
#include "config.pml"
