/* As msmember.View.Clean stands: no lease between the last cut and the statement. */
#define BROKEN_CLEAN
#include "claims.pml"
