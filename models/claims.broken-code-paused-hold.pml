/* As msrequest.Home.hold stands: a pause between the checks and Table.Hold is not noticed. */
#define BROKEN_PAUSE
#include "claims.pml"
