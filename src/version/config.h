/* Cfg, the configuration decider: which presets there are and which one is in
 * force, as the state that the replicated log's changes build.
 *
 * Every change names the version it builds on and a change id.  Of two changes
 * on the same version one wins and the other is told the winner; a change sent
 * again gets its first outcome.  Versions go only upward.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include "value/err.h"
#include "value/str.h"

typedef struct {
    uint64_t term;
    uint64_t index;
} CfgVersion;

typedef enum { Cfg_PUT, Cfg_USE } CfgVerb;

typedef struct {
    CfgVerb verb;
    Str id;          /* change id, chosen by who sends it */
    CfgVersion base; /* the version it builds on */
    Str preset;      /* name */
    Str json;        /* of Cfg_PUT */
} CfgChange;

typedef enum { Cfg_ACCEPTED, Cfg_CONFLICT, Cfg_REFUSED } CfgOutcome;

int Cfg_CompareVersions(CfgVersion a, CfgVersion b);

#endif
