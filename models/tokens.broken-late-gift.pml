/* A holder takes a gift after it has sent a newer exchange. */
#define MAY_ACCEPT(x, s) (s <= seq[x])
#include "tokens.pml"
