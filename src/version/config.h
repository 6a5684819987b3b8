/* Cfg, the configuration decider: which presets there are and which one is in
 * force, as the state that the replicated log's changes build.
 *
 * Every change names the version it builds on and a change id.  Of two changes
 * on the same version one wins and the other is told the winner; a change sent
 * again gets its first outcome.  Versions go only upward.
 *
 * Bounds: Cfg_PRESETS_MAX presets of Cfg_JSON_BYTES_MAX bytes, and the
 * outcomes of the last Cfg_RECORDS_MAX changes.  A change that may be older
 * than these does not run and is answered Cfg_TOO_OLD.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include "value/finding.h"
#include "value/pack.h"
#include "value/str.h"

enum {
    Cfg_PRESETS_MAX = 16,
    Cfg_JSON_BYTES_MAX = 512 * 1024, /* bytes of one preset, or of a change */
    Cfg_NAME_BYTES_MAX = 64, /* bytes of a change's id or a preset's name */
    Cfg_RECORDS_MAX = 1024
};

typedef struct {
    uint64_t term;
    uint64_t index;
} ConfigVersion;

/* Cfg_REPLACE_ROUTING and Cfg_PATCH_ROUTING revise the routing of the preset
 * in force (see routing.h): their base is {0, revision}, their preset has no
 * name. */
typedef enum {
    Cfg_PUT_PRESET,
    Cfg_USE_PRESET,
    Cfg_REPLACE_ROUTING,
    Cfg_PATCH_ROUTING,
    Cfg_VERBS
} ConfigVerb;

typedef struct {
    ConfigVerb verb;
    Str id;                     /* change id, chosen by who sends it */
    ConfigVersion base_version; /* the version it builds on */
    Str preset_name;            /* name */
    Str json;                   /* of Cfg_PUT_PRESET */
} ConfigChange;

typedef enum {
    Cfg_ACCEPTED,
    Cfg_CONFLICT, /* a change on the same base, or a later one, won */
    Cfg_REJECTED, /* see ConfigRejectReason */
    Cfg_TOO_OLD,  /* too old to tell whether it ran before */
    Cfg_OUTCOMES
} ConfigOutcome;

typedef enum {
    Cfg_REASON_NONE,
    Cfg_REASON_NO_PRESET,        /* none of that name */
    Cfg_REASON_TOO_MANY_PRESETS, /* Cfg_PRESETS_MAX are there */
    Cfg_REASON_ID_REUSED,        /* by a change of other content */
    Cfg_REASON_INVALID_ROUTING,  /* the routing would not be sound */
    Cfg_REASONS
} ConfigRejectReason;

/* Strings are valid until the Cfg changes. */
typedef struct {
    ConfigOutcome outcome;
    ConfigRejectReason reason;
    bool is_repeat;        /* it had been decided before */
    ConfigVersion version; /* of an accepted change its own, else the one in
                           force when it was decided */
    bool has_winner;       /* of a conflict */
    Str winner_id;
    ConfigVerb winner_verb;
    Str winner_preset;
    ConfigVersion winner_version;
} ConfigResult;

typedef struct {
    StrBuf name;
    StrBuf json;
    ConfigVersion changed_in; /* by its last change */
} StoredPreset;

/* How a change was decided. */
typedef struct {
    StrBuf id;
    StrBuf preset_name;
    uint64_t content_hash; /* hash of the change, its base apart */
    ConfigVersion base_version;
    ConfigVersion version;
    ConfigVersion
        winner_version; /* of a conflict; {0, 0}: not known any more */
    ConfigVerb verb;
    ConfigOutcome outcome;
    ConfigRejectReason reason;
} ChangeRecord;

typedef struct {
    StoredPreset presets[Cfg_PRESETS_MAX];
    uint32_t preset_count;
    int32_t in_force_index; /* number in presets; -1: nothing agreed on yet */
    ConfigVersion version;
    uint64_t routing_revision;      /* of the routing in force; 0: none */
    ConfigVersion dropped_base_max; /* highest base of what was dropped */
    uint64_t dropped_revision_max;  /* the same of revisions */
    ChangeRecord *records;          /* a ring */
    uint32_t record_count;
    uint32_t record_first;
} ConfigState;

int Cfg_CompareVersions(ConfigVersion a, ConfigVersion b);

void Cfg_Init(ConfigState *cfg);
void Cfg_Finish(ConfigState *cfg);

/* Look at CHANGE before it is proposed: its bounds, and its preset by
 * Pst_Parse.  False with findings. */
bool Cfg_ValidateChange(const ConfigChange *change, FindingList *findings);

/* Whether CHANGE revises the routing. */
bool Cfg_IsRoutingChange(const ConfigChange *change);

/* The preset in force as CHANGE, a revision on it, would make it, checked as a
 * whole; false with findings. */
bool Cfg_ReviseRouting(const ConfigState *cfg, const ConfigChange *change,
                       StrBuf *json, FindingList *findings);

/* Decide the committed CHANGE, which gets VERSION if it is accepted.  The
 * first preset put becomes the one in force. */
void Cfg_ApplyChange(ConfigState *cfg, const ConfigChange *change,
                     ConfigVersion version, ConfigResult *result);

/* The outcome CHANGE had; false when it is not known. */
bool Cfg_FindOutcome(const ConfigState *cfg, const ConfigChange *change,
                     ConfigResult *result);

const StoredPreset *Cfg_FindPreset(const ConfigState *cfg, Str name);

/* NULL before the fleet has agreed on anything. */
const StoredPreset *Cfg_PresetInForce(const ConfigState *cfg);

Str Cfg_VerbName(ConfigVerb verb);
bool Cfg_ParseVerb(Str name, ConfigVerb *verb);

/* What operators are told. */
Str Cfg_ReasonText(ConfigRejectReason why);

/* A change as Cfg_CHANGE_FIELDS fields, as they stand in the log and in
 * messages. */
enum { Cfg_CHANGE_FIELDS = 6 };
void Cfg_PackChange(Pack *pack, const ConfigChange *change);
void Cfg_UnpackChange(Unpack *in, ConfigChange *change);

/* The whole state, for snapshots. */
void Cfg_Serialize(const ConfigState *cfg, StrBuf *out);
bool Cfg_Deserialize(ConfigState *cfg, Str state, Err *err);

#endif
