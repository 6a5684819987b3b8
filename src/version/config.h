/* Cfg: the replicated configuration state: the presets (named configurations,
 * see preset.h), the one in force, which the nodes apply, and the outcomes of
 * recent changes.
 *
 * Each control replica holds one ConfigState and applies the committed changes
 * of the replicated log to it, in log order, so that all replicas reach the
 * same state.  The leader validates a change with Cfg_ValidateChange before it
 * proposes the change, and Cfg_ApplyChange decides the change once it is
 * committed.  Snapshots of the log hold the output of Cfg_Serialize.
 *
 * Each change names the version it builds on (compare and swap) and a unique
 * change id.  Of two changes on the same version one is accepted, and the
 * other gets a conflict that names the accepted one.  A change that is sent
 * again gets its first outcome.  Versions only increase.  Orders about
 * evacuations are the exception: they have no id, see Cfg_IsEvacuation.
 *
 * Bounds: Cfg_PRESETS_MAX presets of Cfg_JSON_BYTES_MAX bytes each, and the
 * outcomes of the last Cfg_RECORDS_MAX changes.  A change that may be older
 * than these outcomes is not applied and gets Cfg_TOO_OLD.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include "value/finding.h"
#include "value/pack.h"
#include "value/str.h"

enum {
    Cfg_PRESETS_MAX = 16,
    Cfg_JSON_BYTES_MAX = 512 * 1024, /* JSON of one preset or one change */
    Cfg_NAME_BYTES_MAX = 64,         /* a change id or a preset name */
    Cfg_RECORDS_MAX = 1024,
    Cfg_EVACUATIONS_MAX = 64, /* failure domains */
    Cfg_EVACUATED_BYTES_MAX = Cfg_EVACUATIONS_MAX * (Cfg_NAME_BYTES_MAX + 1)
};

/* Position in the replicated log of the accepted change that made this
 * version.  {0, 0} is the version before the first accepted change. */
typedef struct {
    uint64_t term;
    uint64_t index;
} ConfigVersion;

/* What a change does.  The two routing changes edit the routing of the preset
 * in force (see routing.h).  Their base_version is {0, routing revision}, and
 * their preset_name is empty.  The two orders about evacuations name a failure
 * domain in preset_name; see Cfg_IsEvacuation. */
typedef enum {
    Cfg_PUT_PRESET,       /* add a preset, or replace the one of that name */
    Cfg_USE_PRESET,       /* put a stored preset in force */
    Cfg_REPLACE_ROUTING,  /* replace the whole routing */
    Cfg_PATCH_ROUTING,    /* change named items of the routing */
    Cfg_START_EVACUATION, /* send nothing more to a failure domain */
    Cfg_END_EVACUATION,   /* withdraw that */
    Cfg_VERBS
} ConfigVerb;

/* A change that an operator asks for.  The strings belong to the caller. */
typedef struct {
    ConfigVerb verb;
    Str id;                     /* unique change id, chosen by the sender */
    ConfigVersion base_version; /* version that this change builds on */
    Str preset_name;
    Str json; /* the preset or the routing; empty for Cfg_USE_PRESET */
} ConfigChange;

/* How a change was decided. */
typedef enum {
    Cfg_ACCEPTED,
    Cfg_CONFLICT, /* base_version is not the current one */
    Cfg_REJECTED, /* not valid in this state, see ConfigRejectReason */
    Cfg_TOO_OLD,  /* whether it was applied before is no longer known */
    Cfg_OUTCOMES
} ConfigOutcome;

/* Why a change got Cfg_REJECTED. */
typedef enum {
    Cfg_REASON_NONE,
    Cfg_REASON_NO_PRESET,        /* there is no preset of that name */
    Cfg_REASON_TOO_MANY_PRESETS, /* Cfg_PRESETS_MAX presets are stored */
    Cfg_REASON_ID_REUSED,        /* another change has the same id */
    Cfg_REASON_INVALID_ROUTING,  /* the resulting routing is not valid */
    Cfg_REASON_TOO_MANY_DOMAINS, /* Cfg_EVACUATIONS_MAX are evacuated */
    Cfg_REASONS
} ConfigRejectReason;

/* Outcome of a change as its sender gets it.  The strings belong to the
 * ConfigState and are valid until it changes. */
typedef struct {
    ConfigOutcome outcome;
    ConfigRejectReason reason; /* of Cfg_REJECTED */
    bool is_repeat;            /* the change was decided before */
    ConfigVersion version;     /* of an accepted change, its own version;
                                  else the version in force at the decision */
    bool has_winner; /* the members below are set: for Cfg_CONFLICT, unless
                        the record of the winner was dropped */
    Str winner_id;   /* the accepted change that this one conflicts with */
    ConfigVerb winner_verb;
    Str winner_preset; /* name; empty for a routing change */
    ConfigVersion winner_version;
} ConfigResult;

/* A preset in the state. */
typedef struct {
    StrBuf name;
    StrBuf json;              /* as put, with later routing changes applied */
    ConfigVersion changed_in; /* version that its last change made */
} StoredPreset;

/* The last order about one failure domain that changed anything. */
typedef struct {
    StrBuf domain;
    bool is_ended; /* it was the end: kept to tell late orders */
    ConfigVersion changed_in;
} Evacuation;

/* A decided change, kept to answer a repeated one and to name the winner of a
 * conflict. */
typedef struct {
    StrBuf id;
    StrBuf preset_name;
    uint64_t content_hash; /* of all members except base_version */
    ConfigVersion base_version;
    ConfigVersion version;        /* as in ConfigResult */
    ConfigVersion winner_version; /* of Cfg_CONFLICT, else {0, 0} */
    ConfigVerb verb;
    ConfigOutcome outcome;
    ConfigRejectReason reason;
} ChangeRecord;

/* The configuration state of one replica.  Other modules only read members. */
typedef struct {
    StoredPreset presets[Cfg_PRESETS_MAX];
    uint32_t preset_count;
    int32_t in_force_index; /* in presets; -1: no preset is in force yet */
    ConfigVersion version;  /* of the last accepted change */
    ConfigVersion preset_version; /* of the last one that was no evacuation */
    Evacuation evacuations[Cfg_EVACUATIONS_MAX];
    uint32_t evacuation_count;
    uint64_t routing_revision;      /* of the preset in force; 0: no routing */
    ConfigVersion dropped_base_max; /* highest base_version of a dropped
                                       record of a preset change */
    uint64_t dropped_revision_max;  /* highest base revision of a dropped
                                       record of a routing change */
    ChangeRecord *records; /* ring buffer of Cfg_RECORDS_MAX records */
    uint32_t record_count;
    uint32_t record_first; /* index of the oldest record in records */
} ConfigState;

/* Below 0, 0 or above 0, as A is older than, equal to or newer than B. */
int Cfg_CompareVersions(ConfigVersion a, ConfigVersion b);

/* Cfg_Init makes CFG an empty state, with no preset in force.  Cfg_Finish
 * frees its memory. */
void Cfg_Init(ConfigState *cfg);
void Cfg_Finish(ConfigState *cfg);

/* Checks CHANGE before it is proposed: the lengths of its strings, and the
 * preset of Cfg_PUT_PRESET with Pst_Parse.  The routing of a routing change is
 * checked by Cfg_ReviseRouting.  Returns false and adds to FINDINGS when
 * CHANGE is not valid. */
bool Cfg_ValidateChange(const ConfigChange *change, FindingList *findings);

/* Whether CHANGE edits the routing of the preset in force. */
bool Cfg_IsRoutingChange(const ConfigChange *change);

/* Whether CHANGE starts or ends the evacuation of a failure domain.
 *
 * Such an order has no id: sent again it has the same effect, so no outcome is
 * kept.  Its base_version is the newest version that the node knew when the
 * operator's request came there.  An order on a base that is older than the
 * last order about the same failure domain, and would undo that, came late: it
 * is a conflict.  An order that changes the state makes a version, as any
 * accepted change does, but is no conflict with changes of presets on an
 * earlier base. */
bool Cfg_IsEvacuation(const ConfigChange *change);

/* Decides a committed order about an evacuation.  For Cfg_ApplyChange. */
void Cfg_ApplyEvacuation(ConfigState *cfg, const ConfigChange *change,
                         ConfigVersion version, ConfigResult *result);

/* Appends the names of the evacuated failure domains to OUT, each followed by
 * a newline. */
void Cfg_ListEvacuated(const ConfigState *cfg, StrBuf *out);

/* Whether LIST, as above, has DOMAIN. */
bool Cfg_IsListed(Str list, Str domain);

/* Computes the JSON of the preset in force after the routing change CHANGE,
 * and checks that whole preset.  The result goes to JSON; CFG is not changed.
 * Returns false and adds to FINDINGS when the change is not valid or no preset
 * is in force. */
bool Cfg_ReviseRouting(const ConfigState *cfg, const ConfigChange *change,
                       StrBuf *json, FindingList *findings);

/* Whether CHANGE can be judged yet.  A routing change or an evacuation cannot
 * before the first preset is in force: that comes soon after the first leader.
 */
bool Cfg_CanJudge(const ConfigState *cfg, const ConfigChange *change);

/* Decides the committed CHANGE and records its outcome.  An accepted change
 * makes VERSION, its position in the log.  The first preset that is put comes
 * into force at once. */
void Cfg_ApplyChange(ConfigState *cfg, const ConfigChange *change,
                     ConfigVersion version, ConfigResult *result);

/* Looks up the outcome of CHANGE without applying it.  Returns true and sets
 * RESULT when CHANGE was decided before, when its id belongs to a change of
 * other content (Cfg_REJECTED), or when its record may have been dropped
 * (Cfg_TOO_OLD).  Returns false when CHANGE has not been decided yet. */
bool Cfg_FindOutcome(const ConfigState *cfg, const ConfigChange *change,
                     ConfigResult *result);

/* The preset of that name; NULL when there is none. */
const StoredPreset *Cfg_FindPreset(const ConfigState *cfg, Str name);

/* NULL before the first preset is accepted. */
const StoredPreset *Cfg_PresetInForce(const ConfigState *cfg);

/* The name of VERB for operators ("put", "use", "route", "route-patch",
 * "evacuate", "evacuate-end"), and back; Cfg_ParseVerb returns false for an
 * unknown name. */
Str Cfg_VerbName(ConfigVerb verb);
bool Cfg_ParseVerb(Str name, ConfigVerb *verb);

/* Text of a rejection for operators. */
Str Cfg_ReasonText(ConfigRejectReason reason);

/* Encode a change as Cfg_CHANGE_FIELDS consecutive fields, the same in log
 * entries and in messages, and decode it.  Decoded strings point into the
 * input; invalid input is reported by Unpack_Ok. */
enum { Cfg_CHANGE_FIELDS = 6 };
void Cfg_PackChange(Pack *pack, const ConfigChange *change);
void Cfg_UnpackChange(Unpack *in, ConfigChange *change);

/* Encode the whole state for a snapshot, and decode it.  Cfg_Serialize appends
 * to OUT.  Cfg_Deserialize replaces CFG, which must be initialized; on an
 * error it returns false and leaves CFG as it was. */
void Cfg_Serialize(const ConfigState *cfg, StrBuf *out);
bool Cfg_Deserialize(ConfigState *cfg, Str state, Err *err);

#endif
