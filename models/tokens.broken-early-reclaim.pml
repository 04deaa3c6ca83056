/* A home mints the tokens of a lost entry before its lease and runs are over. */
#define MAY_RECLAIM(h) (lost[folded[h]] != 0)
#include "tokens.pml"
