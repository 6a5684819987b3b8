/* Sop: the paths of the operator API that list suspect requests and
 * release one.
 *
 *     GET  /v1/suspects
 *     POST /v1/suspects/release  {"fingerprint": "107dcf9bb6a7a62b"}
 */
#ifndef SUSPECTOPS_H
#define SUSPECTOPS_H

#include "process/operators/operatorapi.h"
#include "process/suspects/suspectsync.h"

/* Adds the paths to OPERATOR_API.  SYNC must outlive OPERATOR_API. */
void Sop_RegisterPaths(SuspectSync *sync, OperatorApi *operator_api);

#endif
