/* A reader that follows takes over the state of each snapshot it meets. */
#define BROKEN_SNAPSHOT
#include "config.pml"
