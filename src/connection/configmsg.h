/* Configmsg: the messages about configuration changes, versions and presets,
 * between nodes and control replicas.
 *
 * Changes and reads of presets go to the leader; any control replica answers
 * a request for the version in force, and announces new versions without a
 * request.  Strings of a message that was read point into the bytes it was
 * read from.
 */
#ifndef CONFIGMSG_H
#define CONFIGMSG_H

#include "connection/suspectmsg.h"
#include "process/control/nodeversions.h"
#include "value/addr.h"
#include "version/config.h"

/* Bytes of ConfigChangeReplyMessage.detail. */
enum { Configmsg_DETAIL_MAX = 4096 };

/* A VersionMessage.age that is not known, or is 49 days or more. */
#define Configmsg_AGE_NOT_KNOWN Span_MS(UINT32_MAX)

/* Wire_CONFIG_CHANGE. */
typedef struct {
    uint64_t request_number; /* echoed in the reply */
    ConfigChange change;
} ConfigChangeMessage;

/* Wire_CONFIG_CHANGE_REPLY. */
typedef struct {
    uint64_t request_number;
    bool is_decided; /* false: the replica is not the leader, or can't judge
                        the change yet, and did nothing */
    Addr leader;     /* as far as the replica knows */
    ConfigResult result;
    Str detail; /* why the change was rejected */
} ConfigChangeReplyMessage;

void Configmsg_PackChange(Pack *pack, const ConfigChangeMessage *msg);
bool Configmsg_ReadChange(Unpack *in, ConfigChangeMessage *msg, Err *err);
void Configmsg_PackChangeReply(Pack *pack,
                               const ConfigChangeReplyMessage *msg);
bool Configmsg_ReadChangeReply(Unpack *in, ConfigChangeReplyMessage *msg,
                               Err *err);

/* Wire_VERSION_REQUEST, from a node. */
typedef struct {
    Addr node;
    ConfigVersion known_version; /* version that the node has */
    bool wants_json;         /* asks for the preset if there is a newer one */
    bool must_be_current;    /* asks for a reply that is_current */
    Instant sent_at;         /* on the node's clock; the reply echoes it */
    SuspectSummary suspects; /* what the node knows */
} VersionRequestMessage;

/* Wire_VERSION, as a reply or announced by a control replica. */
typedef struct {
    bool is_current; /* nothing newer existed when the request came */
    Span age; /* before this message was sent, the replica was known to hold
                 every change accepted until then; on the wire it is rounded up
                 to milliseconds; Configmsg_AGE_NOT_KNOWN: not known */
    Instant request_sent_at; /* sent_at of the latest request of this node */
    Addr leader;
    ConfigVersion version; /* {0, 0}: the replica knows none */
    Str json;              /* empty unless wanted, newer, and another one than
                              that of the version which the node has */
    bool is_same_preset;   /* wanted and newer, with the preset that the node
                              has */
    Str evacuated;         /* with either of these: as of Cfg_ListEvacuated */
} VersionMessage;

void Configmsg_PackVersionRequest(Pack *pack,
                                  const VersionRequestMessage *msg);
bool Configmsg_ReadVersionRequest(Unpack *in, VersionRequestMessage *msg,
                                  Err *err);
void Configmsg_PackVersion(Pack *pack, const VersionMessage *msg);
bool Configmsg_ReadVersion(Unpack *in, VersionMessage *msg, Err *err);

/* Wire_PRESETS_REQUEST: asks for the list of presets and, by the members, for
 * more. */
typedef struct {
    uint64_t request_number;  /* echoed in the reply */
    Str name;                 /* preset whose JSON is wanted; empty: none */
    bool wants_in_force;      /* the JSON of the preset in force is wanted */
    bool wants_node_versions; /* the version at each node is wanted */
    bool leader_only;         /* only the leader may reply */
} PresetsRequestMessage;

typedef struct {
    Str name;
    ConfigVersion changed_in; /* version that last changed the preset */
} PresetSummary;

/* Wire_PRESETS_REPLY.  If is_current is false, all members but the request
 * number and the leader are empty. */
typedef struct {
    uint64_t request_number;
    bool is_current;
    Addr leader;
    ConfigVersion version;
    Str in_force; /* name of the preset in force */
    PresetSummary items[Cfg_PRESETS_MAX];
    uint32_t count;
    Str json;      /* of the wanted preset; empty: no preset of that name */
    Str evacuated; /* as of Cfg_ListEvacuated */
    NodeVersionTable nodes; /* empty unless wanted */
} PresetsReplyMessage;

void Configmsg_PackPresetsRequest(Pack *pack,
                                  const PresetsRequestMessage *msg);
bool Configmsg_ReadPresetsRequest(Unpack *in, PresetsRequestMessage *msg,
                                  Err *err);
void Configmsg_PackPresetsReply(Pack *pack, const PresetsReplyMessage *msg);

/* The caller finishes MSG in any case, also when the result is false. */
bool Configmsg_ReadPresetsReply(Unpack *in, PresetsReplyMessage *msg,
                                Err *err);
void Configmsg_FinishPresetsReply(PresetsReplyMessage *msg);

#endif
