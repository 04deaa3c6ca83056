/* As msrequest.Home.hold stands: the home need not have read what another member flushed. */
#define BROKEN_UNREAD
#include "claims.pml"
