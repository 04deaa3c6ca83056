/* A new home grants from memory without having read the claims stream to its end. */
#define BROKEN_CAUGHT
#include "claims.pml"
