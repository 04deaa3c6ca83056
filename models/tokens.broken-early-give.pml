/* A home gives before all members have sent their exchange. */
#define MAY_GIVE(h) (seen[h] != bit(h) || members[folded[h]] == bit(h))
#include "tokens.pml"
