/* A life is taken to hold only what the one before was sent, not those before that. */
#define BROKEN_LIFE_BEFORE
#include "lives.pml"
