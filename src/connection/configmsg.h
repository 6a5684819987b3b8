/* Configmsg: changes and versions of the configuration, between nodes and
 * control replicas.  Strings of a message that was read point into its bytes.
 */
#ifndef CONFIGMSG_H
#define CONFIGMSG_H

#include "connection/suspectmsg.h"
#include "process/nodeversions.h"
#include "value/addr.h"
#include "version/config.h"

enum { Configmsg_DETAIL_MAX = 4096 };

/* Wire_CONFIG_CHANGE: ASK is echoed by the answer. */
typedef struct {
    uint64_t request_number;
    ConfigChange change;
} ConfigChangeMessage;

/* Wire_CONFIG_CHANGE_REPLY. */
typedef struct {
    uint64_t request_number;
    bool is_decided; /* else the replica is no leader, and did nothing */
    Addr leader;     /* as far as it knows */
    ConfigResult result;
    Str detail; /* of a refusal */
} ConfigChangeReplyMessage;

void Configmsg_PackChange(Pack *pack, const ConfigChangeMessage *msg);
bool Configmsg_ReadChange(Unpack *in, ConfigChangeMessage *msg, Err *err);
void Configmsg_PackChangeReply(Pack *pack,
                               const ConfigChangeReplyMessage *msg);
bool Configmsg_ReadChangeReply(Unpack *in, ConfigChangeReplyMessage *msg,
                               Err *err);

/* Wire_VERSION_REQUEST: a node tells what it has; WANTED asks for the preset
 * itself when there is a newer one, CONFIRM for an answer that is current. */
typedef struct {
    Addr node;
    ConfigVersion known_version;
    bool wants_json;
    bool must_be_current;
    SuspectSummary suspects; /* that it knows */
} VersionRequestMessage;

/* Wire_VERSION, as an answer or on the replica's own account. */
typedef struct {
    bool is_current;         /* nothing newer existed when it was asked */
    bool has_leader_contact; /* in touch with the leader: a newer one will be
                                told */
    Addr leader;
    ConfigVersion version; /* {0, 0}: nothing is known there */
    Str json;              /* empty unless wanted and newer */
} VersionMessage;

void Configmsg_PackVersionRequest(Pack *pack,
                                  const VersionRequestMessage *msg);
bool Configmsg_ReadVersionRequest(Unpack *in, VersionRequestMessage *msg,
                                  Err *err);
void Configmsg_PackVersion(Pack *pack, const VersionMessage *msg);
bool Configmsg_ReadVersion(Unpack *in, VersionMessage *msg, Err *err);

/* Wire_PRESETS_REQUEST: NAME also asks for that preset itself, IN_FORCE for
 * the one in force, VERSIONS for the version at each node. */
typedef struct {
    uint64_t request_number;
    Str name;
    bool wants_in_force;
    bool wants_node_versions;
    bool leader_only; /* nobody else is to answer */
} PresetsRequestMessage;

typedef struct {
    Str name;
    ConfigVersion changed_in;
} PresetSummary;

/* Wire_PRESETS_REPLY.  Where CURRENT is false the rest but LEADER is empty. */
typedef struct {
    uint64_t request_number;
    bool is_current;
    Addr leader;
    ConfigVersion version;
    Str in_force;
    PresetSummary items[Cfg_PRESETS_MAX];
    uint32_t count;
    Str json; /* of the preset asked for; empty: none of that name */
    NodeVersionTable nodes; /* empty unless asked for */
} PresetsReplyMessage;

void Configmsg_PackPresetsRequest(Pack *pack,
                                  const PresetsRequestMessage *msg);
bool Configmsg_ReadPresetsRequest(Unpack *in, PresetsRequestMessage *msg,
                                  Err *err);
void Configmsg_PackPresetsReply(Pack *pack, const PresetsReplyMessage *msg);

/* MSG is to be finished, also when it was refused. */
bool Configmsg_ReadPresetsReply(Unpack *in, PresetsReplyMessage *msg,
                                Err *err);
void Configmsg_FinishPresetsReply(PresetsReplyMessage *msg);

#endif
