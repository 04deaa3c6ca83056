/* An outage is proved by a majority of the members. */
#define BROKEN_MAJORITY
#include "config.pml"
