/* fleet: simulates many nodes in one process, beside real control replicas.
 *
 * Each simulated node runs the membership code of a real node over sockets of
 * its own.  It has no backend server (though it announces one) and no
 * replicated log, and takes no calls.  Every STATUS_INTERVAL_MS the program
 * prints a line of JSON: the number of simulated nodes ("stand_ins"), and the
 * fewest and the most members that one of them knows.
 */
#include <argtable2.h>
#include <stdio.h>

#include "process/membership/membershipsync.h"
#include "value/mem.h"

enum { START_INTERVAL_MS = 4, STATUS_INTERVAL_MS = 100, SLOTS = 9 };

typedef struct {
    Settings settings; /* strings and lists belong to Fleet.template */
    AnnouncementReceiver announcements; /* no backend server sends them */
    AdmissionController admission;
    Net net;
    MembershipSync members;
    int known_count; /* members in its table */
    bool running;
} SimulatedNode;

typedef struct {
    Loop loop;
    Logger logger;
    Timeline timeline;
    Counters counters;
    Settings template; /* of the first node */
    SimulatedNode *nodes;
    int node_count; /* to start; lost ones are subtracted */
    int started_count;
    int lose_count; /* nodes, the last ones, that stop at lose_at without
                       sending that they leave */
    Instant started_at;
    Span lose_at;   /* since started_at */
    Span change_at; /* since started_at, when all nodes get another version;
                       0: never */
    Instant end_at;
    LoopTimer start_timer;
    LoopTimer status_timer;
} Fleet;

static void
on_member(void *context, MemberChange change, const MemberRecord *record,
          Instant now)
{
    SimulatedNode *node = context;

    (void)record;
    (void)now;
    node->known_count += change == Mbr_JOINED;
    node->known_count -= change == Mbr_REMOVED;
}

/* Announces a service chosen by INDEX out of 52, as many as the target fleet
 * has (docs/CAPACITY.md). */
static void
set_announcement(SimulatedNode *node, int index)
{
    char name[16];
    int len = snprintf(name, sizeof name, "service%d", index % 52);

    Adm_Init(&node->admission, &(AdmissionSettings){0});
    Adm_OnAnnounce(&node->admission, SLOTS, false, Loop_Now());
    node->announcements.has_backend = true;
    StrBuf_Set(&node->announcements.service, Str_From(name, (size_t)len));
}

static bool
start_node(Fleet *fleet, int index, Err *err)
{
    SimulatedNode *node = &fleet->nodes[index];
    Settings *settings = &node->settings;

    *settings = fleet->template;
    settings->address += (Addr)index << 16;
    settings->domain_index =
        (uint16_t)((size_t)index % settings->domain_count);
    settings->region_number =
        settings->domains[settings->domain_index].region_number;
    set_announcement(node, index);
    if (!Net_Init(&node->net, &fleet->loop, &fleet->timeline, &fleet->counters,
                  settings, err)) {
        return false;
    }
    Mbs_Init(&node->members, &fleet->loop, &node->net, &fleet->counters,
             &fleet->logger, settings, &node->announcements, &node->admission,
             Loop_Entropy() >> 1, on_member, node);
    Mbs_SetVersion(&node->members, (ConfigVersion){.term = 1, .index = 1},
                   Loop_Now());
    node->running = true;
    return true;
}

static void
stop_node(SimulatedNode *node)
{
    Mbs_Finish(&node->members);
    Net_Finish(&node->net);
    StrBuf_Finish(&node->announcements.service);
    node->running = false;
}

/* Starts one node per tick, so that heartbeats are spread over time. */
static void
on_start_timer(void *context, Instant now)
{
    Fleet *fleet = context;
    Err err = {0};

    (void)now;
    if (fleet->started_count == fleet->node_count) {
        return;
    }
    if (!start_node(fleet, fleet->started_count, &err)) {
        Lgr_LogErr(&fleet->logger, Lgr_ERROR, Str_LIT("not_started"), &err);
        Loop_Stop(&fleet->loop);
        return;
    }
    fleet->started_count++;
}

static void
lose_nodes(Fleet *fleet)
{
    while (fleet->lose_count > 0 && fleet->node_count > 0) {
        fleet->lose_count--;
        fleet->node_count--;
        stop_node(&fleet->nodes[fleet->node_count]);
        fleet->started_count = fleet->node_count;
    }
}

static void
change_version(Fleet *fleet, Instant now)
{
    fleet->change_at = 0;
    for (int i = 0; i < fleet->started_count; i++) {
        Mbs_SetVersion(&fleet->nodes[i].members,
                       (ConfigVersion){.term = 1, .index = 2}, now);
    }
}

static void
print_status(const Fleet *fleet, Instant now)
{
    int least = fleet->started_count ? fleet->nodes[0].known_count : 0;
    int most = least;

    for (int i = 0; i < fleet->started_count; i++) {
        int known = fleet->nodes[i].known_count;
        least = known < least ? known : least;
        most = known > most ? known : most;
    }
    printf("{\"at_ms\": %lld, \"stand_ins\": %d, \"least_known\": %d, "
           "\"most_known\": %d, \"cpu_ms\": %lld}\n",
           (long long)((now - fleet->started_at) / 1000), fleet->started_count,
           least, most, (long long)(Loop_Usage().cpu_us / 1000));
    fflush(stdout);
}

static void
on_status_timer(void *context, Instant now)
{
    Fleet *fleet = context;

    if (fleet->lose_count && now - fleet->started_at >= fleet->lose_at) {
        print_status(fleet, now);
        lose_nodes(fleet);
    }
    if (fleet->change_at && now - fleet->started_at >= fleet->change_at) {
        change_version(fleet, now);
    }
    print_status(fleet, now);
    if (now >= fleet->end_at) {
        Loop_Stop(&fleet->loop);
    }
}

static bool
read_template(Fleet *fleet, Str file)
{
    StrBuf text = {0};
    StrBuf report = {0};
    FindingList findings;
    Err err = {0};
    bool good;

    Fnd_Init(&findings);
    Set_Init(&fleet->template);
    good = Set_ReadFile(file, &text, &err) &&
           Set_Parse(&fleet->template, StrBuf_View(&text), &findings);
    Fnd_Print(&findings, &report);
    fprintf(stderr, "%.*s%.*s", Str_ARG(report), Str_ARG(Err_Text(&err)));
    StrBuf_Finish(&report);
    StrBuf_Finish(&text);
    Fnd_Finish(&findings);
    return good;
}

static bool
run(Fleet *fleet, int seconds)
{
    Err err = {0};

    if (!Loop_Init(&fleet->loop, &err)) {
        return false;
    }
    Lgr_Init(&fleet->logger, Lgr_WARNING, Str_LIT("fleet"), Loop_WallClock);
    Tml_Init(&fleet->timeline, &fleet->logger);
    Cnt_Init(&fleet->counters);
    fleet->nodes = Mem_Alloc((size_t)fleet->node_count, sizeof *fleet->nodes);
    fleet->started_at = Loop_Now();
    fleet->end_at = fleet->started_at + Span_S(seconds);
    LoopTimer_Init(&fleet->start_timer, &fleet->loop,
                   Span_MS(START_INTERVAL_MS), on_start_timer, fleet);
    LoopTimer_Init(&fleet->status_timer, &fleet->loop,
                   Span_MS(STATUS_INTERVAL_MS), on_status_timer, fleet);
    Loop_Run(&fleet->loop);
    /* The sockets of the nodes are closed when the process exits. */
    return fleet->started_count == fleet->node_count;
}

int
main(int argc, char **argv)
{
    struct arg_file *settings =
        arg_file1(NULL, NULL, "SETTINGS",
                  "settings file of the first stand-in; "
                  "the others use the next addresses");
    struct arg_int *nodes =
        arg_int1(NULL, "nodes", "N", "number of stand-ins");
    struct arg_int *seconds =
        arg_int1(NULL, "seconds", "N", "duration in seconds");
    struct arg_int *lose = arg_int0(
        NULL, "lose", "N", "stand-ins that stop together without notice");
    struct arg_int *lose_at =
        arg_int0(NULL, "lose-at", "S", "seconds until they stop");
    struct arg_int *change = arg_int0(NULL, "change-at", "S",
                                      "seconds until all get another version");
    struct arg_end *end = arg_end(8);
    void *table[] = {settings, nodes, seconds, lose, lose_at, change, end};
    static Fleet fleet;

    if (arg_parse(argc, argv, table)) {
        arg_print_errors(stderr, end, "fleet");
        arg_print_glossary(stderr, table, "  %-24s %s\n");
        return 2;
    }
    fleet.node_count = nodes->ival[0];
    fleet.lose_count = lose->count ? lose->ival[0] : 0;
    fleet.lose_at = lose_at->count ? Span_S(lose_at->ival[0]) : 0;
    fleet.change_at = change->count ? Span_S(change->ival[0]) : 0;
    if (!read_template(&fleet, Str_FromC(settings->filename[0]))) {
        return 2;
    }
    return run(&fleet, seconds->ival[0]) ? 0 : 1;
}
