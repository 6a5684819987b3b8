/* Sop: what operators see of suspect requests, and their word that releases
 * one.
 *
 *     GET  /v1/suspects
 *     POST /v1/suspects/release  {"fingerprint": "107dcf9bb6a7a62b"}
 */
#ifndef SUSPECTOPS_H
#define SUSPECTOPS_H

#include "process/operate.h"
#include "process/suspectsync.h"

void Sop_RegisterEndpoints(SuspectSync *suspects, Opr *opr);

#endif
