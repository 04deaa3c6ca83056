/* The next leader counts the lease that leaders grant. */
#define TERMS 2
#define LIVES 2
#define INHERITED GRANT
#include "lives.pml"
