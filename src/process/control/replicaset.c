#include "process/control/replicaset.h"

void
Rps_Init(ReplicaSet *set, Settings *settings,
         ReplicaSlotCallback slot_reassigned, void *context)
{
    *set = (ReplicaSet){.settings = settings,
                        .slot_reassigned = slot_reassigned,
                        .callback_context = context};
}

size_t
Rps_Find(const ReplicaSet *set, Addr addr)
{
    const Settings *settings = set->settings;

    for (size_t i = 0; i < settings->replica_count; i++) {
        if (settings->replicas[i] == addr) {
            return i;
        }
    }
    return Set_REPLICAS_MAX;
}

/* Returns an unused slot, or else the slot of a replica other than this node's
 * that is not a member; Set_REPLICAS_MAX when there is none. */
static size_t
find_slot(const ReplicaSet *set)
{
    const Settings *settings = set->settings;
    size_t slot = Rps_Find(set, Addr_NONE);

    for (size_t i = 0; i < settings->replica_count && slot == Set_REPLICAS_MAX;
         i++) {
        if (!set->is_member[i] && settings->replicas[i] != settings->address) {
            slot = i;
        }
    }
    return slot;
}

void
Rps_Add(ReplicaSet *set, Addr addr)
{
    size_t slot;

    if (set->settings->seed_count == 0 || addr == Addr_NONE ||
        Rps_Find(set, addr) < Set_REPLICAS_MAX) {
        return;
    }
    slot = find_slot(set);
    if (slot < Set_REPLICAS_MAX) {
        set->settings->replicas[slot] = addr;
        set->is_member[slot] = false;
        set->slot_reassigned(set->callback_context, slot);
    }
}

void
Rps_SetMember(ReplicaSet *set, Addr addr, bool is_member)
{
    size_t slot;

    if (is_member) {
        Rps_Add(set, addr);
    }
    slot = Rps_Find(set, addr);
    if (slot < Set_REPLICAS_MAX) {
        set->is_member[slot] = is_member;
    }
}
