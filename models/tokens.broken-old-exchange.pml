/* A home books an exchange after a newer one of the same holder. */
#define IS_VOID(s, latest) false
#include "tokens.pml"
