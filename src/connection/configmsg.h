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

/* Wire_CHANGE: ASK is echoed by the answer. */
typedef struct {
    uint64_t ask;
    ConfigChange change;
} ChangeMsg;

/* Wire_CHANGED. */
typedef struct {
    uint64_t ask;
    bool decided; /* else the replica is no leader, and did nothing */
    Addr leader;  /* as far as it knows */
    ConfigResult result;
    Str detail; /* of a refusal */
} ChangedMsg;

void Configmsg_PackChange(Pack *pack, const ChangeMsg *msg);
bool Configmsg_ReadChange(Unpack *in, ChangeMsg *msg, Err *err);
void Configmsg_PackChanged(Pack *pack, const ChangedMsg *msg);
bool Configmsg_ReadChanged(Unpack *in, ChangedMsg *msg, Err *err);

/* Wire_VERSION_ASK: a node tells what it has; WANTED asks for the preset
 * itself when there is a newer one, CONFIRM for an answer that is current. */
typedef struct {
    Addr node;
    ConfigVersion have;
    bool wanted;
    bool confirm;
    SuspectWord suspects; /* that it knows */
} VersionAskMsg;

/* Wire_VERSION, as an answer or on the replica's own account. */
typedef struct {
    bool current; /* nothing newer existed when it was asked */
    bool linked;  /* in touch with the leader: a newer one will be told */
    Addr leader;
    ConfigVersion version; /* {0, 0}: nothing is known there */
    Str json;              /* empty unless wanted and newer */
} VersionMsg;

void Configmsg_PackVersionAsk(Pack *pack, const VersionAskMsg *msg);
bool Configmsg_ReadVersionAsk(Unpack *in, VersionAskMsg *msg, Err *err);
void Configmsg_PackVersion(Pack *pack, const VersionMsg *msg);
bool Configmsg_ReadVersion(Unpack *in, VersionMsg *msg, Err *err);

/* Wire_PRESETS_ASK: NAME also asks for that preset itself, IN_FORCE for the
 * one in force, VERSIONS for the version at each node. */
typedef struct {
    uint64_t ask;
    Str name;
    bool in_force;
    bool versions;
    bool leader; /* nobody else is to answer */
} PresetsAskMsg;

typedef struct {
    Str name;
    ConfigVersion changed;
} PresetsItem;

/* Wire_PRESETS.  Where CURRENT is false the rest but LEADER is empty. */
typedef struct {
    uint64_t ask;
    bool current;
    Addr leader;
    ConfigVersion version;
    Str in_force;
    PresetsItem items[Cfg_PRESETS_MAX];
    uint32_t count;
    Str json; /* of the preset asked for; empty: none of that name */
    NodeVersionTable nodes; /* empty unless asked for */
} PresetsMsg;

void Configmsg_PackPresetsAsk(Pack *pack, const PresetsAskMsg *msg);
bool Configmsg_ReadPresetsAsk(Unpack *in, PresetsAskMsg *msg, Err *err);
void Configmsg_PackPresets(Pack *pack, const PresetsMsg *msg);

/* MSG is to be finished, also when it was refused. */
bool Configmsg_ReadPresets(Unpack *in, PresetsMsg *msg, Err *err);
void Configmsg_FinishPresets(PresetsMsg *msg);

#endif
