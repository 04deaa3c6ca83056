/* A claim is granted when it was appended, without reading the stream back. */
#define BROKEN_READ_BACK
#include "claims.pml"
