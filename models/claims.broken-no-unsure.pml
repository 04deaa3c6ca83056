/* After a home is lost its successor grants as if it knew of all claims. */
#define BROKEN_UNSURE
#include "claims.pml"
