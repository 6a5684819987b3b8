/* Rps: the control replicas that this process knows, in numbered slots.  The
 * slots are settings->replicas, which all modules read.
 *
 * With a fixed list in the settings, the set is that list and never changes.
 * With seeds, the set begins with them, and every replica that this process
 * hears of is added: the seeds may be incomplete, out of date or not running.
 * A replica keeps its slot number while it is a member of the fleet; the slot
 * of a replica that left the fleet is given to the next one that needs a slot.
 */
#ifndef REPLICASET_H
#define REPLICASET_H

#include "process/settings/settings.h"

/* Called after the slot NUMBER was given to another replica.  The callback
 * drops what was stored for the former replica under this number. */
typedef void (*ReplicaSlotCallback)(void *context, size_t number);

/* The known control replicas, and which of them are members of the fleet. */
typedef struct {
    Settings *settings;               /* not owned; Rps_Add changes its
                                         replicas */
    bool is_member[Set_REPLICAS_MAX]; /* by slot */
    ReplicaSlotCallback slot_reassigned;
    void *callback_context;
} ReplicaSet;

/* SLOT_REASSIGNED is called with CONTEXT. */
void Rps_Init(ReplicaSet *set, Settings *settings,
              ReplicaSlotCallback slot_reassigned, void *context);

/* Adds the control replica at ADDR.  Nothing changes with a fixed list, when
 * ADDR is there already, and when every slot is in use by a member. */
void Rps_Add(ReplicaSet *set, Addr addr);

/* Records whether the control replica at ADDR is a member of the fleet; a
 * member is added as by Rps_Add. */
void Rps_SetMember(ReplicaSet *set, Addr addr, bool is_member);

/* The slot of ADDR; Set_REPLICAS_MAX when it has none. */
size_t Rps_Find(const ReplicaSet *set, Addr addr);

#endif
