/* Cfg, the configuration decider: which presets there are and which one is in
 * force, as the state that the replicated log's changes build.
 *
 * Every change names the version it builds on and a change id.  Of two changes
 * on the same version one wins and the other is told the winner; a change sent
 * again gets its first outcome.  Versions go only upward.
 *
 * Bounds: Cfg_PRESETS_MAX presets of Cfg_JSON_MAX bytes, and the outcomes of
 * the last Cfg_RECORDS_MAX changes.  A change that may be older than these
 * does not run and is answered Cfg_FORGOTTEN.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include "value/finding.h"
#include "value/pack.h"
#include "value/str.h"

enum {
    Cfg_PRESETS_MAX = 16,
    Cfg_JSON_MAX = 512 * 1024, /* bytes of one preset, or of a change */
    Cfg_NAME_MAX = 64,         /* bytes of a change's id or a preset's name */
    Cfg_RECORDS_MAX = 1024
};

typedef struct {
    uint64_t term;
    uint64_t index;
} CfgVersion;

/* Cfg_ROUTE and Cfg_ROUTE_PATCH revise the routing of the preset in force (see
 * routing.h): their base is {0, revision}, their preset has no name. */
typedef enum {
    Cfg_PUT,
    Cfg_USE,
    Cfg_ROUTE,
    Cfg_ROUTE_PATCH,
    Cfg_VERBS
} CfgVerb;

typedef struct {
    CfgVerb verb;
    Str id;          /* change id, chosen by who sends it */
    CfgVersion base; /* the version it builds on */
    Str preset;      /* name */
    Str json;        /* of Cfg_PUT */
} CfgChange;

typedef enum {
    Cfg_ACCEPTED,
    Cfg_CONFLICT,  /* a change on the same base, or a later one, won */
    Cfg_REFUSED,   /* see CfgWhy */
    Cfg_FORGOTTEN, /* too old to tell whether it ran before */
    Cfg_OUTCOMES
} CfgOutcome;

typedef enum {
    Cfg_WHY_NONE,
    Cfg_WHY_NO_PRESET, /* none of that name */
    Cfg_WHY_FULL,      /* Cfg_PRESETS_MAX are there */
    Cfg_WHY_ID_USED,   /* by a change of other content */
    Cfg_WHY_ROUTING,   /* the routing would not be sound */
    Cfg_WHYS
} CfgWhy;

/* Strings are valid until the Cfg changes. */
typedef struct {
    CfgOutcome outcome;
    CfgWhy why;
    bool again;         /* it had been decided before */
    CfgVersion version; /* of an accepted change its own, else the one in
                           force when it was decided */
    bool has_winner;    /* of a conflict */
    Str winner_id;
    CfgVerb winner_verb;
    Str winner_preset;
    CfgVersion winner_version;
} CfgResult;

typedef struct {
    StrBuf name;
    StrBuf json;
    CfgVersion changed; /* by its last change */
} CfgPreset;

/* How a change was decided. */
typedef struct {
    StrBuf id;
    StrBuf preset;
    uint64_t content; /* hash of the change, its base apart */
    CfgVersion base;
    CfgVersion version;
    CfgVersion winner; /* of a conflict; {0, 0}: not known any more */
    CfgVerb verb;
    CfgOutcome outcome;
    CfgWhy why;
} CfgRecord;

typedef struct {
    CfgPreset presets[Cfg_PRESETS_MAX];
    uint32_t preset_count;
    int32_t in_force; /* number in presets; -1: nothing agreed on yet */
    CfgVersion version;
    uint64_t revision;           /* of the routing in force; 0: none */
    CfgVersion forgotten;        /* highest base of what was dropped */
    uint64_t forgotten_revision; /* the same of revisions */
    CfgRecord *records;          /* a ring */
    uint32_t record_count;
    uint32_t record_first;
} Cfg;

int Cfg_CompareVersions(CfgVersion a, CfgVersion b);

void Cfg_Init(Cfg *cfg);
void Cfg_Finish(Cfg *cfg);

/* Look at CHANGE before it is proposed: its bounds, and its preset by
 * Pst_Parse.  False with findings. */
bool Cfg_Check(const CfgChange *change, FindingList *findings);

/* Whether CHANGE revises the routing. */
bool Cfg_IsRevision(const CfgChange *change);

/* The preset in force as CHANGE, a revision on it, would make it, checked as a
 * whole; false with findings. */
bool Cfg_Revise(const Cfg *cfg, const CfgChange *change, StrBuf *json,
                FindingList *findings);

/* Decide the committed CHANGE, which gets VERSION if it is accepted.  The
 * first preset put becomes the one in force. */
void Cfg_Apply(Cfg *cfg, const CfgChange *change, CfgVersion version,
               CfgResult *result);

/* The outcome CHANGE had; false when it is not known. */
bool Cfg_Recall(const Cfg *cfg, const CfgChange *change, CfgResult *result);

const CfgPreset *Cfg_Find(const Cfg *cfg, Str name);

/* NULL before the fleet has agreed on anything. */
const CfgPreset *Cfg_InForce(const Cfg *cfg);

Str Cfg_VerbName(CfgVerb verb);
bool Cfg_ParseVerb(Str name, CfgVerb *verb);

/* What operators are told. */
Str Cfg_WhyText(CfgWhy why);

/* A change as Cfg_CHANGE_FIELDS fields, as they stand in the log and in
 * messages. */
enum { Cfg_CHANGE_FIELDS = 6 };
void Cfg_PackChange(Pack *pack, const CfgChange *change);
void Cfg_TakeChange(Unpack *in, CfgChange *change);

/* The whole state, for snapshots. */
void Cfg_Save(const Cfg *cfg, StrBuf *out);
bool Cfg_Load(Cfg *cfg, Str state, Err *err);

#endif
