/* A holder starts again with a token that is above the lowered total. */
#define MAY_KEEP_RELEASED(x) true
#include "tokens.pml"
