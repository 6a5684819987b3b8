#include "support/rlog_simulation.h"

#include <stdio.h>

#include "value/mem.h"

#define TICK_INTERVAL Span_MS(5)
#define ELECTION_TIMEOUT Span_MS(1000)
#define HEARTBEAT_INTERVAL Span_MS(200)
#define HELLO_INTERVAL Span_MS(100)

#define DELAY_MIN Span_MS(5)

enum { LOG_ENTRIES_MAX = 20 };

struct SimulatedMessage {
    SimulatedMessage *next;
    Instant due;
    RaftMessage message;
    StrBuf data[Rlog_BATCH_ENTRIES_MAX];
    StrBuf snapshot;
};

/* Counts a failed check and prints TEXT with NUMBER, the identity, term, index
 * or time that it is about. */
static void
report_violation(RlogSimulation *sim, const char *text, uint64_t number)
{
    sim->violation_count++;
    fprintf(stderr, "rlog simulation: %s (%llu)\n", text,
            (unsigned long long)number);
}

static SimulatedReplica *
find_by_identity(RlogSimulation *sim, uint64_t identity)
{
    for (int i = 0; i < sim->replica_count; i++) {
        if (sim->replicas[i].identity == identity) {
            return &sim->replicas[i];
        }
    }
    return NULL;
}

static Span
get_link_delay(RlogSimulation *sim, uint64_t identity)
{
    const SimulatedReplica *replica = find_by_identity(sim, identity);

    return replica ? replica->link_delay : 0;
}

static SimulatedMessage *
copy_message(const RaftMessage *message)
{
    SimulatedMessage *copy = Mem_Alloc(1, sizeof *copy);

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
free_message(SimulatedMessage *message)
{
    for (uint32_t i = 0; i < message->message.entry_count; i++) {
        StrBuf_Finish(&message->data[i]);
    }
    StrBuf_Finish(&message->snapshot);
    Mem_Free(message);
}

static void
insert_message(RlogSimulation *sim, SimulatedMessage *message)
{
    SimulatedMessage **at = &sim->queue;

    while (*at && (*at)->due <= message->due) {
        at = &(*at)->next;
    }
    message->next = *at;
    *at = message;
}

static void
queue_message(RlogSimulation *sim, const RaftMessage *message, Instant sent_at)
{
    SimulatedMessage *copy = copy_message(message);

    copy->due = sent_at + sim->delay_min +
                Rng_Below(&sim->rng, (uint32_t)sim->delay_max);
    copy->due +=
        get_link_delay(sim, message->from) + get_link_delay(sim, message->to);
    for (uint32_t i = 0; i < message->entry_count; i++) {
        sim->sent_bytes += message->entries[i].data.len;
    }
    sim->sent_snapshots += message->kind == Rlog_INSTALL_SNAPSHOT;
    insert_message(sim, copy);
}

/* When REPLICA, which may be held up by a store, does what it does next. */
static Instant
get_own_time(const SimulatedReplica *replica)
{
    Instant now = replica->sim->now;

    return replica->busy_until > now ? replica->busy_until : now;
}

static void
spend_store_time(SimulatedReplica *replica)
{
    replica->busy_until = get_own_time(replica) + replica->store_time;
}

static void
on_send(void *context, const RaftMessage *message)
{
    SimulatedReplica *replica = context;
    RlogSimulation *sim = replica->sim;

    if (replica->is_partitioned ||
        Rng_Below(&sim->rng, 1000) < sim->drop_permille) {
        return;
    }
    queue_message(sim, message, get_own_time(replica));
    if (Rng_Below(&sim->rng, 1000) < sim->duplicate_permille) {
        queue_message(sim, message, get_own_time(replica));
    }
}

static bool
on_store_vote(void *context, uint64_t term, uint64_t voted_for)
{
    SimulatedReplica *replica = context;

    if (replica->is_disk_full) {
        return false;
    }
    spend_store_time(replica);
    replica->term = term;
    replica->voted_for = voted_for;
    return true;
}

static bool
on_store_entries(void *context, const RaftEntry *entries, size_t count)
{
    SimulatedReplica *replica = context;

    if (replica->is_disk_full) {
        return false;
    }
    spend_store_time(replica);
    replica->entries =
        Mem_Resize(replica->entries, replica->entry_count + count,
                   sizeof *replica->entries);
    for (size_t i = 0; i < count; i++) {
        SimulatedEntry *to = &replica->entries[replica->entry_count++];
        *to = (SimulatedEntry){
            entries[i].term, entries[i].index, entries[i].kind, {0}};
        StrBuf_Append(&to->data, entries[i].data);
    }
    return true;
}

static bool
on_truncate(void *context, uint64_t from_index)
{
    SimulatedReplica *replica = context;

    while (replica->entry_count &&
           replica->entries[replica->entry_count - 1].index >= from_index) {
        StrBuf_Finish(&replica->entries[--replica->entry_count].data);
    }
    return true;
}

/* Drops the entries up to INDEX, or all entries when none has INDEX and TERM.
 */
static void
drop_entries_up_to(SimulatedReplica *replica, uint64_t term, uint64_t index)
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
    SimulatedReplica *replica = context;

    if (replica->is_disk_full) {
        return false;
    }
    spend_store_time(replica);
    replica->snapshot_term = term;
    replica->snapshot_index = index;
    StrBuf_Set(&replica->snapshot, snapshot);
    drop_entries_up_to(replica, term, index);
    return true;
}

/* Checks that the committed changes of REPLICA are a prefix of those committed
 * anywhere, or the other way round, and keeps the longer ones. */
static void
check_commits(SimulatedReplica *replica)
{
    RlogSimulation *sim = replica->sim;
    Str state = StrBuf_View(&replica->state);
    Str longest = StrBuf_View(&sim->committed);

    if (state.len <= longest.len) {
        if (!Str_StartsWith(longest, state)) {
            report_violation(sim, "committed changes differ",
                             replica->identity);
        }
        return;
    }
    if (!Str_StartsWith(state, longest)) {
        report_violation(sim, "committed changes differ", replica->identity);
    }
    StrBuf_Set(&sim->committed, state);
}

static void
on_commit(void *context, const RaftEntry *entry)
{
    SimulatedReplica *replica = context;

    if (entry->kind == Rlog_ENTRY_CHANGE) {
        StrBuf_AppendFmt(&replica->state, "%llu:%.*s;",
                         (unsigned long long)entry->index,
                         Str_ARG(entry->data));
        check_commits(replica);
    }
}

static void
on_save_state(void *context, StrBuf *out)
{
    SimulatedReplica *replica = context;

    StrBuf_Append(out, StrBuf_View(&replica->state));
}

static bool
on_load_state(void *context, Str state)
{
    SimulatedReplica *replica = context;

    StrBuf_Set(&replica->state, state);
    replica->snapshots_loaded++;
    check_commits(replica);
    return true;
}

static void
on_role(void *context, bool leader, uint64_t term, Instant now)
{
    SimulatedReplica *replica = context;
    RlogSimulation *sim = replica->sim;
    uint64_t *known = &sim->leaders[term % Rsim_TERMS];

    (void)now;
    if (!leader) {
        return;
    }
    if (*known && *known != replica->identity) {
        report_violation(sim, "two leaders in one term", term);
    }
    *known = replica->identity;
    sim->election_count++;
}

static void
on_replicas(void *context, const RaftReplicaList *replicas)
{
    (void)context;
    (void)replicas;
}

/* Passes the content of the disk to the replica's log after its Rlog_Init. */
static void
restore_disk(SimulatedReplica *replica)
{
    Err err = {0};

    if (replica->term) {
        Rlog_RestoreVote(&replica->rlog, replica->term, replica->voted_for);
    }
    if (replica->snapshot_index &&
        !Rlog_RestoreSnapshot(&replica->rlog, replica->snapshot_term,
                              replica->snapshot_index,
                              StrBuf_View(&replica->snapshot), &err)) {
        report_violation(replica->sim, "stored snapshot was rejected",
                         replica->identity);
    }
    for (size_t i = 0; i < replica->entry_count; i++) {
        const SimulatedEntry *from = &replica->entries[i];
        RaftEntry entry = {from->term, from->index, from->kind,
                           StrBuf_View(&from->data)};
        if (!Rlog_RestoreEntry(&replica->rlog, &entry, &err)) {
            report_violation(replica->sim, "stored entry was rejected",
                             from->index);
        }
    }
}

void
Rsim_Start(RlogSimulation *sim, int number)
{
    SimulatedReplica *replica = &sim->replicas[number];
    RaftSettings settings = {replica->identity, replica->addr,
                             ELECTION_TIMEOUT,  HEARTBEAT_INTERVAL,
                             LOG_ENTRIES_MAX,   sim->voters_max};
    RaftCallbacks out = {
        replica,       on_send,           on_store_vote, on_store_entries,
        on_truncate,   on_store_snapshot, on_commit,     on_save_state,
        on_load_state, on_role,           on_replicas,
    };

    if (replica->is_up) {
        return;
    }
    StrBuf_Clear(&replica->state);
    Rng_Init(&replica->rng, Rng_Below(&sim->rng, UINT32_MAX));
    Rlog_Init(&replica->rlog, &settings, &out, &replica->rng, sim->now);
    restore_disk(replica);
    replica->is_up = true;
}

void
Rsim_Kill(RlogSimulation *sim, int number)
{
    SimulatedReplica *replica = &sim->replicas[number];

    replica->busy_until = 0;
    if (replica->is_up) {
        Rlog_Finish(&replica->rlog);
        Rng_Finish(&replica->rng);
        replica->is_up = false;
    }
}

void
Rsim_LoseDisk(RlogSimulation *sim, int number)
{
    SimulatedReplica *replica = &sim->replicas[number];

    Rsim_Kill(sim, number);
    on_truncate(replica, 0);
    StrBuf_Clear(&replica->snapshot);
    replica->snapshot_index = 0;
    replica->snapshot_term = 0;
    replica->term = 0;
    replica->voted_for = 0;
    replica->identity = ++sim->identity_count;
}

void
Rsim_Init(RlogSimulation *sim, int count, uint64_t seed)
{
    RaftReplicaList voters = {.count = (uint32_t)count};

    *sim = (RlogSimulation){
        .now = Span_S(1000), .replica_count = count, .delay_min = DELAY_MIN};
    Rng_Init(&sim->rng, seed);
    for (int i = 0; i < count; i++) {
        SimulatedReplica *replica = &sim->replicas[i];
        replica->sim = sim;
        replica->number = i;
        replica->identity = ++sim->identity_count;
        replica->addr = 1000 + (Addr)i;
        voters.items[i] =
            (RaftReplica){replica->identity, replica->addr, true, true};
        Rsim_Start(sim, i);
    }
    Rlog_Bootstrap(&sim->replicas[0].rlog, &voters, sim->now);
}

void
Rsim_AddReplica(RlogSimulation *sim)
{
    SimulatedReplica *replica = &sim->replicas[sim->replica_count];

    replica->sim = sim;
    replica->number = sim->replica_count;
    replica->identity = ++sim->identity_count;
    replica->addr = 1000 + (Addr)sim->replica_count;
    sim->replica_count++;
}

void
Rsim_Finish(RlogSimulation *sim)
{
    while (sim->queue) {
        SimulatedMessage *message = sim->queue;
        sim->queue = message->next;
        free_message(message);
    }
    for (int i = 0; i < sim->replica_count; i++) {
        SimulatedReplica *replica = &sim->replicas[i];
        Rsim_Kill(sim, i);
        on_truncate(replica, 0);
        Mem_Free(replica->entries);
        StrBuf_Finish(&replica->snapshot);
        StrBuf_Finish(&replica->state);
    }
    StrBuf_Finish(&sim->committed);
    Rng_Finish(&sim->rng);
}

static bool
accepts_message(const SimulatedReplica *replica,
                const SimulatedMessage *message)
{
    return !replica->is_deaf &&
           (!replica->appends_blocked ||
            (message->message.kind != Rlog_APPEND_REQUEST &&
             message->message.kind != Rlog_INSTALL_SNAPSHOT));
}

/* Keeps one read index request pending at each replica that is up.  When a
 * replica becomes current since the request, it must have committed everything
 * that was committed anywhere before the request. */
static void
check_read(RlogSimulation *sim, SimulatedReplica *replica)
{
    if (!replica->is_up || replica->busy_until > sim->now) {
        replica->read_requested_at =
            replica->is_up ? replica->read_requested_at : 0;
        return;
    }
    if (replica->read_requested_at &&
        Rlog_IsCurrentSince(&replica->rlog, replica->read_requested_at)) {
        if (replica->state.len < replica->read_state_min) {
            report_violation(sim, "current replica lacks committed changes",
                             (uint64_t)sim->now);
        }
        sim->read_count++;
        replica->read_requested_at = 0;
    }
    if (!replica->read_requested_at) {
        replica->read_requested_at = sim->now;
        replica->read_state_min = sim->committed.len;
        Rlog_RequestReadIndex(&replica->rlog, sim->now);
    }
}

/* What was committed at the tick before Rlog_CurrentAsOf must be committed at
 * REPLICA. */
static void
check_as_of(RlogSimulation *sim, SimulatedReplica *replica)
{
    Instant as_of = replica->is_up && replica->busy_until <= sim->now
                        ? Rlog_CurrentAsOf(&replica->rlog, sim->now)
                        : 0;
    const CommittedLength *before;

    if (as_of <= TICK_INTERVAL) {
        return;
    }
    before =
        &sim->lengths[(as_of - TICK_INTERVAL) / TICK_INTERVAL % Rsim_TICKS];
    if (before->at != as_of - TICK_INTERVAL) {
        return; /* before the start, or too long ago */
    }
    if (replica->state.len < before->length) {
        report_violation(sim, "replica lacks changes as of a time",
                         (uint64_t)as_of);
    }
    sim->as_of_count++;
}

static void
check_reads(RlogSimulation *sim)
{
    for (int i = 0; i < sim->replica_count; i++) {
        check_read(sim, &sim->replicas[i]);
        check_as_of(sim, &sim->replicas[i]);
    }
    sim->lengths[sim->now / TICK_INTERVAL % Rsim_TICKS] =
        (CommittedLength){sim->now, sim->committed.len};
}

static void
deliver(RlogSimulation *sim)
{
    while (sim->queue && sim->queue->due <= sim->now) {
        SimulatedMessage *first = sim->queue;
        SimulatedReplica *to = find_by_identity(sim, first->message.to);
        sim->queue = first->next;
        if (to && to->is_up && to->busy_until > sim->now) {
            first->due = to->busy_until;
            insert_message(sim, first);
            continue;
        }
        if (to && to->is_up && !to->is_partitioned &&
            accepts_message(to, first)) {
            Rlog_OnMessage(&to->rlog, &first->message, sim->now);
        }
        free_message(first);
    }
}

/* The configured addresses are those that the replicas have now. */
static bool
is_listed(const RlogSimulation *sim, Addr addr)
{
    for (int i = 0; i < sim->replica_count; i++) {
        if (sim->replicas[i].addr == addr) {
            return true;
        }
    }
    return false;
}

/* Reports the first replica in the leader's list whose address is no longer
 * configured. */
static void
drop_unlisted(RlogSimulation *sim, SimulatedReplica *leader)
{
    for (uint32_t i = 0; i < leader->rlog.replicas.count; i++) {
        Addr addr = leader->rlog.replicas.items[i].addr;
        if (!is_listed(sim, addr)) {
            Rlog_OnUnlistedAddr(&leader->rlog, addr,
                                (uint32_t)sim->replica_count, sim->now);
            return;
        }
    }
}

/* Replaces the hello messages, which the owners of the logs send: the leader
 * learns of each replica that it can reach. */
static void
report_replicas_seen(RlogSimulation *sim, SimulatedReplica *leader)
{
    for (int i = 0; i < sim->replica_count; i++) {
        SimulatedReplica *other = &sim->replicas[i];
        if (other->is_up && !other->is_partitioned &&
            leader->busy_until <= sim->now) {
            Rlog_OnReplicaSeen(&leader->rlog, other->identity, other->addr,
                               sim->now, sim->now);
        }
    }
}

void
Rsim_Run(RlogSimulation *sim, Span time)
{
    Instant end = sim->now + time;

    while (sim->now < end) {
        int leader = Rsim_FindLeader(sim);
        sim->now += TICK_INTERVAL;
        for (int i = 0; i < sim->replica_count; i++) {
            if (sim->replicas[i].is_up &&
                sim->replicas[i].busy_until <= sim->now) {
                Rlog_OnTick(&sim->replicas[i].rlog, sim->now);
            }
        }
        deliver(sim);
        check_reads(sim);
        if (leader >= 0 && sim->now % HELLO_INTERVAL == 0) {
            report_replicas_seen(sim, &sim->replicas[leader]);
            drop_unlisted(sim, &sim->replicas[leader]);
        }
    }
}

int
Rsim_FindLeader(const RlogSimulation *sim)
{
    for (int i = 0; i < sim->replica_count; i++) {
        const SimulatedReplica *replica = &sim->replicas[i];
        if (replica->is_up && !replica->is_partitioned &&
            Rlog_IsLeading(&replica->rlog, sim->now)) {
            return i;
        }
    }
    return -1;
}

int
Rsim_Elect(RlogSimulation *sim, Span limit)
{
    Instant end = sim->now + limit;

    while (Rsim_FindLeader(sim) < 0 && sim->now < end) {
        Rsim_Run(sim, TICK_INTERVAL);
    }
    return Rsim_FindLeader(sim);
}

bool
Rsim_CommitChange(RlogSimulation *sim, Str text, Span limit)
{
    Instant end = sim->now + limit;
    int leader = Rsim_Elect(sim, limit);
    uint64_t index;

    if (leader < 0) {
        return false;
    }
    while (sim->replicas[leader].busy_until > sim->now) {
        Rsim_Run(sim, TICK_INTERVAL);
    }
    index = Rlog_Propose(&sim->replicas[leader].rlog, text, sim->now);
    while (index && sim->now < end) {
        if (sim->replicas[leader].rlog.commit_index >= index) {
            return true;
        }
        Rsim_Run(sim, TICK_INTERVAL);
    }
    return false;
}

bool
Rsim_AreAllEqual(const RlogSimulation *sim)
{
    for (int i = 0; i < sim->replica_count; i++) {
        const SimulatedReplica *replica = &sim->replicas[i];
        if (replica->is_up && !Str_Equal(StrBuf_View(&replica->state),
                                         StrBuf_View(&sim->committed))) {
            return false;
        }
    }
    return true;
}
