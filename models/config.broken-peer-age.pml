/* A peer's proof counts as new, without its age. */
#define BROKEN_AGE
#include "config.pml"
