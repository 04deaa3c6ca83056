/* As msrequest.Table.Apply stands: a late copy of a claim that was settled not-run takes the key again. */
#define BROKEN_GONE
#include "claims.pml"
