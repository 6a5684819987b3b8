#include "support/rlogworld.h"

#include <stdio.h>

#include "value/mem.h"

#define STEP Span_MS(5)
#define ELECTION Span_MS(1000)
#define HEARTBEAT Span_MS(200)
#define HELLO Span_MS(100)

enum { LOG_MAX = 20, LEAST_DELAY_MS = 5 };

struct WorldMessage {
    WorldMessage *next;
    Instant due;
    RaftMessage message;
    StrBuf data[Rlog_BATCH_ENTRIES_MAX];
    StrBuf snapshot;
};

static void
fail(World *world, const char *text, uint64_t number)
{
    world->broken++;
    fprintf(stderr, "world: %s (%llu)\n", text, (unsigned long long)number);
}

static WorldReplica *
find_identity(World *world, uint64_t identity)
{
    for (int i = 0; i < world->count; i++) {
        if (world->replicas[i].identity == identity) {
            return &world->replicas[i];
        }
    }
    return NULL;
}

static WorldMessage *
copy_message(const RaftMessage *message)
{
    WorldMessage *copy = Mem_Alloc(1, sizeof *copy);

    copy->message = *message;
    for (uint32_t i = 0; i < message->entry_count; i++) {
        StrBuf_Set(&copy->data[i], message->entries[i].data);
        copy->message.entries[i].data = StrBuf_View(&copy->data[i]);
    }
    StrBuf_Set(&copy->snapshot, message->snapshot);
    copy->message.snapshot = StrBuf_View(&copy->snapshot);
    return copy;
}

static void
free_message(WorldMessage *message)
{
    for (uint32_t i = 0; i < message->message.entry_count; i++) {
        StrBuf_Finish(&message->data[i]);
    }
    StrBuf_Finish(&message->snapshot);
    Mem_Free(message);
}

static void
queue_message(World *world, const RaftMessage *message)
{
    WorldMessage *copy = copy_message(message);
    WorldMessage **at = &world->queue;

    copy->due = world->now + Span_MS(LEAST_DELAY_MS) +
                Rng_Below(&world->rng, (uint32_t)world->delay_max);
    while (*at && (*at)->due <= copy->due) {
        at = &(*at)->next;
    }
    copy->next = *at;
    *at = copy;
}

static void
on_send(void *context, const RaftMessage *message)
{
    WorldReplica *replica = context;
    World *world = replica->world;

    if (replica->cut || Rng_Below(&world->rng, 1000) < world->drop_permille) {
        return;
    }
    queue_message(world, message);
    if (Rng_Below(&world->rng, 1000) < world->double_permille) {
        queue_message(world, message);
    }
}

static bool
on_store_vote(void *context, uint64_t term, uint64_t voted_for)
{
    WorldReplica *replica = context;

    if (replica->full) {
        return false;
    }
    replica->term = term;
    replica->voted_for = voted_for;
    return true;
}

static bool
on_store_entries(void *context, const RaftEntry *entries, size_t count)
{
    WorldReplica *replica = context;

    if (replica->full) {
        return false;
    }
    replica->entries =
        Mem_Resize(replica->entries, replica->entry_count + count,
                   sizeof *replica->entries);
    for (size_t i = 0; i < count; i++) {
        WorldEntry *to = &replica->entries[replica->entry_count++];
        *to = (WorldEntry){
            entries[i].term, entries[i].index, entries[i].kind, {0}};
        StrBuf_Append(&to->data, entries[i].data);
    }
    return true;
}

static bool
on_truncate(void *context, uint64_t from_index)
{
    WorldReplica *replica = context;

    while (replica->entry_count &&
           replica->entries[replica->entry_count - 1].index >= from_index) {
        StrBuf_Finish(&replica->entries[--replica->entry_count].data);
    }
    return true;
}

/* Drop the entries up to INDEX, or all when the one at INDEX is another's. */
static void
drop_until(WorldReplica *replica, uint64_t term, uint64_t index)
{
    size_t kept = 0;
    bool same = false;

    for (size_t i = 0; i < replica->entry_count; i++) {
        same = same || (replica->entries[i].index == index &&
                        replica->entries[i].term == term);
    }
    for (size_t i = 0; i < replica->entry_count; i++) {
        if (same && replica->entries[i].index > index) {
            replica->entries[kept++] = replica->entries[i];
        }
        else {
            StrBuf_Finish(&replica->entries[i].data);
        }
    }
    replica->entry_count = kept;
}

static bool
on_store_snapshot(void *context, uint64_t term, uint64_t index, Str snapshot)
{
    WorldReplica *replica = context;

    if (replica->full) {
        return false;
    }
    replica->snapshot_term = term;
    replica->snapshot_index = index;
    StrBuf_Set(&replica->snapshot, snapshot);
    drop_until(replica, term, index);
    return true;
}

static void
check_state(WorldReplica *replica)
{
    World *world = replica->world;
    Str state = StrBuf_View(&replica->state);
    Str longest = StrBuf_View(&world->longest);

    if (state.len <= longest.len) {
        if (!Str_StartsWith(longest, state)) {
            fail(world, "commits differ", replica->identity);
        }
        return;
    }
    if (!Str_StartsWith(state, longest)) {
        fail(world, "commits differ", replica->identity);
    }
    StrBuf_Set(&world->longest, state);
}

static void
on_commit(void *context, const RaftEntry *entry)
{
    WorldReplica *replica = context;

    if (entry->kind == Rlog_ENTRY_CHANGE) {
        StrBuf_AppendFmt(&replica->state, "%llu:%.*s;",
                         (unsigned long long)entry->index,
                         Str_ARG(entry->data));
        check_state(replica);
    }
}

static void
on_save_state(void *context, StrBuf *out)
{
    WorldReplica *replica = context;

    StrBuf_Append(out, StrBuf_View(&replica->state));
}

static bool
on_load_state(void *context, Str state)
{
    WorldReplica *replica = context;

    StrBuf_Set(&replica->state, state);
    replica->snapshots_loaded++;
    check_state(replica);
    return true;
}

static void
on_role(void *context, bool leader, uint64_t term, Instant now)
{
    WorldReplica *replica = context;
    World *world = replica->world;
    uint64_t *known = &world->leaders[term % World_TERMS];

    (void)now;
    if (!leader) {
        return;
    }
    if (*known && *known != replica->identity) {
        fail(world, "two leaders of one term", term);
    }
    *known = replica->identity;
}

static void
on_replicas(void *context, const RaftReplicaList *replicas)
{
    (void)context;
    (void)replicas;
}

static void
restore(WorldReplica *replica)
{
    Err err = {0};

    if (replica->term) {
        Rlog_RestoreVote(&replica->rlog, replica->term, replica->voted_for);
    }
    if (replica->snapshot_index &&
        !Rlog_RestoreSnapshot(&replica->rlog, replica->snapshot_term,
                              replica->snapshot_index,
                              StrBuf_View(&replica->snapshot), &err)) {
        fail(replica->world, "snapshot not restored", replica->identity);
    }
    for (size_t i = 0; i < replica->entry_count; i++) {
        const WorldEntry *from = &replica->entries[i];
        RaftEntry entry = {from->term, from->index, from->kind,
                           StrBuf_View(&from->data)};
        if (!Rlog_RestoreEntry(&replica->rlog, &entry, &err)) {
            fail(replica->world, "entry not restored", from->index);
        }
    }
}

void
World_Start(World *world, int number)
{
    WorldReplica *replica = &world->replicas[number];
    RaftSettings settings = {replica->identity, replica->addr,
                             ELECTION,          HEARTBEAT,
                             LOG_MAX,           world->voters_max};
    RaftCallbacks out = {
        replica,       on_send,           on_store_vote, on_store_entries,
        on_truncate,   on_store_snapshot, on_commit,     on_save_state,
        on_load_state, on_role,           on_replicas,
    };

    if (replica->up) {
        return;
    }
    StrBuf_Clear(&replica->state);
    Rng_Init(&replica->rng, Rng_Below(&world->rng, UINT32_MAX));
    Rlog_Init(&replica->rlog, &settings, &out, &replica->rng, world->now);
    restore(replica);
    replica->up = true;
}

void
World_Kill(World *world, int number)
{
    WorldReplica *replica = &world->replicas[number];

    if (replica->up) {
        Rlog_Finish(&replica->rlog);
        Rng_Finish(&replica->rng);
        replica->up = false;
    }
}

void
World_LoseDisk(World *world, int number)
{
    WorldReplica *replica = &world->replicas[number];

    World_Kill(world, number);
    on_truncate(replica, 0);
    StrBuf_Clear(&replica->snapshot);
    replica->snapshot_index = 0;
    replica->snapshot_term = 0;
    replica->term = 0;
    replica->voted_for = 0;
    replica->identity = ++world->identities;
}

void
World_Init(World *world, int count, uint64_t seed)
{
    RaftReplicaList voters = {.count = (uint32_t)count};

    *world = (World){.now = Span_S(1000), .count = count};
    Rng_Init(&world->rng, seed);
    for (int i = 0; i < count; i++) {
        WorldReplica *replica = &world->replicas[i];
        replica->world = world;
        replica->number = i;
        replica->identity = ++world->identities;
        replica->addr = 1000 + (Addr)i;
        voters.items[i] =
            (RaftReplica){replica->identity, replica->addr, true, true};
        World_Start(world, i);
    }
    Rlog_Bootstrap(&world->replicas[0].rlog, &voters, world->now);
}

void
World_AddSpare(World *world)
{
    WorldReplica *replica = &world->replicas[world->count];

    replica->world = world;
    replica->number = world->count;
    replica->identity = ++world->identities;
    replica->addr = 1000 + (Addr)world->count;
    world->count++;
}

void
World_Finish(World *world)
{
    while (world->queue) {
        WorldMessage *message = world->queue;
        world->queue = message->next;
        free_message(message);
    }
    for (int i = 0; i < world->count; i++) {
        WorldReplica *replica = &world->replicas[i];
        World_Kill(world, i);
        on_truncate(replica, 0);
        Mem_Free(replica->entries);
        StrBuf_Finish(&replica->snapshot);
        StrBuf_Finish(&replica->state);
    }
    StrBuf_Finish(&world->longest);
    Rng_Finish(&world->rng);
}

static bool
hears(const WorldReplica *replica, const WorldMessage *message)
{
    return !replica->deaf || (message->message.kind != Rlog_APPEND_REQUEST &&
                              message->message.kind != Rlog_INSTALL_SNAPSHOT);
}

/* Every replica is asked again and again; one that answers as current knows
 * what was committed anywhere before it was asked. */
static void
read_at(World *world, WorldReplica *replica)
{
    if (!replica->up) {
        replica->read_at = 0;
        return;
    }
    if (replica->read_at &&
        Rlog_IsCurrentSince(&replica->rlog, replica->read_at)) {
        if (replica->state.len < replica->read_least) {
            fail(world, "current without what was committed",
                 (uint64_t)world->now);
        }
        world->reads++;
        replica->read_at = 0;
    }
    if (!replica->read_at) {
        replica->read_at = world->now;
        replica->read_least = world->longest.len;
        Rlog_RequestReadIndex(&replica->rlog, world->now);
    }
}

static void
check_current(World *world)
{
    for (int i = 0; i < world->count; i++) {
        read_at(world, &world->replicas[i]);
    }
}

static void
deliver(World *world)
{
    while (world->queue && world->queue->due <= world->now) {
        WorldMessage *first = world->queue;
        WorldReplica *to = find_identity(world, first->message.to);
        world->queue = first->next;
        if (to && to->up && !to->cut && hears(to, first)) {
            Rlog_OnMessage(&to->rlog, &first->message, world->now);
        }
        free_message(first);
    }
}

/* The addresses that replicas have now are the listed ones. */
static bool
is_listed(const World *world, Addr addr)
{
    for (int i = 0; i < world->count; i++) {
        if (world->replicas[i].addr == addr) {
            return true;
        }
    }
    return false;
}

static void
drop_unlisted(World *world, WorldReplica *leader)
{
    for (uint32_t i = 0; i < leader->rlog.replicas.count; i++) {
        Addr addr = leader->rlog.replicas.items[i].addr;
        if (!is_listed(world, addr)) {
            Rlog_OnUnlistedAddr(&leader->rlog, addr, (uint32_t)world->count,
                                world->now);
            return;
        }
    }
}

/* What the owners do by their hellos: a leader hears of every replica. */
static void
introduce(World *world, WorldReplica *leader)
{
    for (int i = 0; i < world->count; i++) {
        WorldReplica *other = &world->replicas[i];
        if (other->up && !other->cut) {
            Rlog_OnReplicaSeen(&leader->rlog, other->identity, other->addr,
                               world->now, world->now);
        }
    }
}

void
World_Run(World *world, Span time)
{
    Instant end = world->now + time;

    while (world->now < end) {
        int leader = World_Leader(world);
        world->now += STEP;
        deliver(world);
        for (int i = 0; i < world->count; i++) {
            if (world->replicas[i].up) {
                Rlog_OnTick(&world->replicas[i].rlog, world->now);
            }
        }
        check_current(world);
        if (leader >= 0 && world->now % HELLO == 0) {
            introduce(world, &world->replicas[leader]);
            drop_unlisted(world, &world->replicas[leader]);
        }
    }
}

int
World_Leader(const World *world)
{
    for (int i = 0; i < world->count; i++) {
        const WorldReplica *replica = &world->replicas[i];
        if (replica->up && !replica->cut &&
            Rlog_IsLeading(&replica->rlog, world->now)) {
            return i;
        }
    }
    return -1;
}

int
World_Elect(World *world, Span limit)
{
    Instant end = world->now + limit;

    while (World_Leader(world) < 0 && world->now < end) {
        World_Run(world, STEP);
    }
    return World_Leader(world);
}

bool
World_Change(World *world, Str text, Span limit)
{
    Instant end = world->now + limit;
    int leader = World_Elect(world, limit);
    uint64_t index;

    if (leader < 0) {
        return false;
    }
    index = Rlog_Propose(&world->replicas[leader].rlog, text, world->now);
    while (index && world->now < end) {
        if (world->replicas[leader].rlog.commit_index >= index) {
            return true;
        }
        World_Run(world, STEP);
    }
    return false;
}

bool
World_AllEqual(const World *world)
{
    for (int i = 0; i < world->count; i++) {
        const WorldReplica *replica = &world->replicas[i];
        if (replica->up && !Str_Equal(StrBuf_View(&replica->state),
                                      StrBuf_View(&world->longest))) {
            return false;
        }
    }
    return true;
}
