/* Lvs: records at the control replicas that the backend server beside this
 * node leaves, and reads that back when the node has been restarted.
 *
 * A node keeps nothing over a restart, and an announcement may be under way
 * for seconds.  So a backend server is told that its leaving is acknowledged
 * only once a majority of the control replicas has it in their data folders,
 * and a node that starts takes no announcement for valid before a majority has
 * told it what it knows.
 *
 * The receiver of announcements (process/membership/announce.h) calls
 * Lvs_Record and is called back when something changed.
 */
#ifndef LEAVESYNC_H
#define LEAVESYNC_H

#include "connection/leavemsg.h"
#include "process/control/replicaset.h"
#include "process/net.h"
#include "process/observe/counters.h"
#include "process/observe/timeline.h"

enum { Lvs_PENDING_MAX = 256 }; /* replies that wait for a save */

/* A reply of this control replica that waits until its table is saved. */
typedef struct {
    NetOrigin origin;
    Addr node;
} LeavePendingReply;

typedef void (*LeaveUpdateCallback)(void *context, Instant now);

typedef struct {
    Net *net;
    Counters *counters;
    Logger *logger;
    const Settings *settings;
    const ReplicaSet *replicas;
    LeaveUpdateCallback on_update;
    void *on_update_context;
    /* For the backend server beside this node. */
    BackendStart own;             /* latest start known to leave */
    bool holds[Set_REPLICAS_MAX]; /* by slot: the replica has own in its data
                                     folder */
    bool is_synced;               /* own was read since this process started */
    Instant started_at;
    Instant changed_at; /* of own; at first the start */
    Instant next_send_at;
    /* On a control replica, for all nodes. */
    LeaveTable table;
    bool needs_save;
    Instant next_save_at;
    LeavePendingReply *pending; /* owned */
    size_t pending_count;
} LeaveSync;

/* Loads the table from a control replica's data folder.  ON_UPDATE is called
 * after Lvs_IsSynced, Lvs_IsConfirmed or own has changed.  All pointers must
 * outlive SYNC. */
void Lvs_Init(LeaveSync *sync, Net *net, Counters *counters, Logger *logger,
              const Settings *settings, const ReplicaSet *replicas,
              LeaveUpdateCallback on_update, void *context);
void Lvs_Finish(LeaveSync *sync);

/* START of the backend server beside this node leaves. */
void Lvs_Record(LeaveSync *sync, BackendStart start, Instant now);

/* Whether this process knows what the control replicas know, or has waited for
 * them for too long. */
bool Lvs_IsSynced(const LeaveSync *sync);

/* Whether a majority of the control replicas has what was recorded last. */
bool Lvs_IsConfirmed(const LeaveSync *sync);

/* Slot NUMBER of the replica set is another replica's now. */
void Lvs_OnReplicaReplaced(LeaveSync *sync, size_t number);

/* Saves, sends and expires what is due. */
void Lvs_Tick(LeaveSync *sync, Instant now);

#endif
