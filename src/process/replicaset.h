/* Rps: which control replicas a process knows of.
 *
 * With a fixed list in the settings, that list.  With seeds, it begins with
 * these, which may be few, stale or gone, and takes in every replica that is
 * heard of.  Places keep their number while they are used; the place of one
 * that is not heard of any more is given to the next that needs one.
 */
#ifndef REPLICASET_H
#define REPLICASET_H

#include "process/settings.h"

/* Place NUMBER is another replica's from now on. */
typedef void (*ReplicaSlotCallback)(void *context, size_t number);

typedef struct {
    Settings *settings;
    bool is_member[Set_REPLICAS_MAX]; /* among the members now */
    ReplicaSlotCallback slot_reassigned;
    void *callback_context;
} ReplicaSet;

void Rps_Init(ReplicaSet *set, Settings *settings, ReplicaSlotCallback moved,
              void *context);

/* Heard of ADDR, which carries a control replica. */
void Rps_Add(ReplicaSet *set, Addr addr);

/* ADDR is among the members, or no longer. */
void Rps_SetMember(ReplicaSet *set, Addr addr, bool live);

/* Its place; Set_REPLICAS_MAX when it has none. */
size_t Rps_Find(const ReplicaSet *set, Addr addr);

#endif
