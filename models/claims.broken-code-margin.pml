/* As msentry.claims.caught stands: the margin is the lease alone, without claimTimeout. */
#define BROKEN_MARGIN
#include "claims.pml"
