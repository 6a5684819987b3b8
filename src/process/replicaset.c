#include "process/replicaset.h"

void
Rps_Init(ReplicaSet *set, Settings *settings, ReplicaSlotCallback moved,
         void *context)
{
    *set = (ReplicaSet){.settings = settings,
                        .slot_reassigned = moved,
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

/* An unused place, else that of one which is not here. */
static size_t
find_place(const ReplicaSet *set)
{
    const Settings *settings = set->settings;
    size_t found = Rps_Find(set, Addr_NONE);

    for (size_t i = 0;
         i < settings->replica_count && found == Set_REPLICAS_MAX; i++) {
        if (!set->is_member[i] && settings->replicas[i] != settings->address) {
            found = i;
        }
    }
    return found;
}

void
Rps_Add(ReplicaSet *set, Addr addr)
{
    size_t place;

    if (set->settings->seed_count == 0 || addr == Addr_NONE ||
        Rps_Find(set, addr) < Set_REPLICAS_MAX) {
        return;
    }
    place = find_place(set);
    if (place < Set_REPLICAS_MAX) {
        set->settings->replicas[place] = addr;
        set->is_member[place] = false;
        set->slot_reassigned(set->callback_context, place);
    }
}

void
Rps_SetMember(ReplicaSet *set, Addr addr, bool live)
{
    size_t place;

    if (live) {
        Rps_Add(set, addr);
    }
    place = Rps_Find(set, addr);
    if (place < Set_REPLICAS_MAX) {
        set->is_member[place] = live;
    }
}
