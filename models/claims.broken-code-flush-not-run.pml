/* As msrequest.Table.settleHeld and unloggedEvents stand: a claim from memory that is being flushed is freed in memory, and flushed all the same. */
#define BROKEN_FLUSH
#include "claims.pml"
