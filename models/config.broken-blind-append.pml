/* An operator appends again without a look for its id, ids are not void, and it tells what became of its last record. */
#define BROKEN_BLIND
#include "config.pml"
