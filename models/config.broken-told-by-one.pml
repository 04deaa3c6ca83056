/* One entry that has folded the change is enough to tell the operator, and that entry may end. */
#define BROKEN_ONE
#include "config.pml"
