/* A start to a worker that doesn't answer carries the bound on its lease, not an end that was granted. */
#define BROKEN_BOUND_SENT
#define BROKEN_UNFENCED_BOUND
#define TERMS 2
#define LIVES 2
#define MAY_START(c) (call[c].life == life)
#include "lives.pml"
