/* A home does not ask whether another member holds claims that are missing on the log. */
#define BROKEN_LOGGED
#include "claims.pml"
