/* A gap between snapshot and tail boots an empty state. */
#define BROKEN_GAP
#include "config.pml"
