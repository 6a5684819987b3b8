/* Cnt: the event counters of a process, published as metrics.
 *
 * They are printed in the Prometheus text exposition format, with
 * "lycheeridge_" before each name.  All start at 0 and only increase.
 */
#ifndef COUNTERS_H
#define COUNTERS_H

#include "value/str.h"

/* X(id, name of the metric, help text) */
#define Cnt_LIST(X)                                                           \
    X(CALLS, "calls_total", "Calls received from callers")                    \
    X(CALLS_ANSWERED, "calls_answered_total", "Calls given a whole answer")   \
    X(CALLS_NOT_RUN, "calls_not_run_total", "Calls answered not run")         \
    X(CALLS_UNKNOWN, "calls_unknown_total", "Calls answered unknown")         \
    X(CALLS_CUT, "calls_cut_total", "Answers cut after their first piece")    \
    X(CALLS_RAN, "calls_ran_total",                                           \
      "Repeats of a key whose answer is not kept")                            \
    X(DISPLACED, "displaced_total",                                           \
      "Queued attempts that gave their place to a more urgent one")           \
    X(CALLS_NO_ROUTE, "calls_no_route_total", "Calls that no route matches")  \
    X(CALLS_NO_ACCOUNT, "calls_no_account_total",                             \
      "Calls whose key is no client account's")                               \
    X(CALLS_NO_REGION, "calls_no_region_total",                               \
      "Calls refused for lack of a backend server in their regions")          \
    X(COLD_PERIODS, "cold_periods_total",                                     \
      "Times that the backend server became cold")                            \
    X(CALLS_OVER_LIMIT, "calls_over_limit_total",                             \
      "Calls refused since their account is at its limit")                    \
    X(CALLS_NO_GRANTOR, "calls_no_grantor_total",                             \
      "Calls refused since nobody granted credit to their account")           \
    X(CALLS_HUNG_UP, "calls_hung_up_total", "Calls whose caller hung up")     \
    X(ATTEMPTS, "attempts_total", "Attempts made")                            \
    X(RETRIES, "retries_total", "Attempts after the first of a call")         \
    X(HEDGES, "hedges_total", "Attempts made before the first one answered")  \
    X(HEDGES_WON, "hedges_won_total", "Hedges that answered first")           \
    X(HEDGES_LOST, "hedges_lost_total",                                       \
      "Hedges that the first attempt overtook")                               \
    X(HEDGES_NO_ATTEMPT, "hedges_withheld_attempts_total",                    \
      "Calls whose hedge was withheld first for want of attempts")            \
    X(HEDGES_MANY_LATE, "hedges_withheld_late_total",                         \
      "The same, since many calls are late or fail")                          \
    X(HEDGES_NO_GAIN, "hedges_withheld_gain_total",                           \
      "The same, for too little to win")                                      \
    X(HEDGES_NO_ROOM, "hedges_withheld_room_total",                           \
      "The same, for want of room")                                           \
    X(HEDGES_OVER_BUDGET, "hedges_withheld_budget_total",                     \
      "The same, over the operators' share")                                  \
    X(HEDGES_OVER_QUOTA, "hedges_withheld_quota_total",                       \
      "The same, over the account's quota")                                   \
    X(FENCES, "fences_total", "Attempts settled by a fence")                  \
    X(RUNS, "runs_total", "Attempts run at the backend server")               \
    X(ATTEMPTS_REFUSED, "refused_total",                                      \
      "Attempts refused at the backend server")                               \
    X(DUPLICATES, "duplicates_total", "Attempts that had been seen before")   \
    X(SUSPECTS_STOPPED, "suspects_stopped_total",                             \
      "Attempts refused as suspect")                                          \
    X(BACKEND_LOSSES, "backend_losses_total", "Losses of the backend server") \
    X(SILENT_CONNECTIONS, "silent_connections_total",                         \
      "Connections given up as silent")                                       \
    X(MALFORMED, "malformed_total", "Messages that could not be read")        \
    X(OPERATORS_DENIED, "denied_total",                                       \
      "Operators' requests without their key")                                \
    X(MEASURE_BYTES, "measure_bytes_total", "Bytes sent to measure load")     \
    X(MEASURE_LINK_BYTES, "measure_link_bytes_total",                         \
      "Of these, across regions")                                             \
    X(MEASURE_MESSAGES, "measure_messages_total", "Messages to measure load") \
    X(MEASURE_CPU_US, "measure_cpu_us_total", "CPU spent measuring, us")      \
    X(CONTROL_BYTES, "control_bytes_total", "Bytes sent for control")         \
    X(CONTROL_MESSAGES, "control_messages_total", "Messages for control")     \
    X(CONTROL_CPU_US, "control_cpu_us_total", "CPU spent on control, us")     \
    X(QUOTA_BYTES, "quota_bytes_total", "Of these, for credit of accounts")   \
    X(QUOTA_MESSAGES, "quota_messages_total",                                 \
      "Messages for credit of accounts")                                      \
    X(QUOTA_GRANTED, "quota_granted_total", "Calls granted to nodes")         \
    X(QUOTA_NOT_GRANTED, "quota_not_granted_total",                           \
      "Calls that nodes wanted and were not granted")                         \
    X(QUOTA_GIVEN_BACK, "quota_given_back_total",                             \
      "Calls granted and given back unspent")                                 \
    X(LINK_BYTES, "link_bytes_total", "Bytes sent across regions")            \
    X(NODE_KEYS_REFUSED, "node_keys_refused_total",                           \
      "Nodes refused by their key")                                           \
    X(OPERATORS_BUSY, "operators_busy_total", "Operators' requests shed")     \
    X(OPERATORS_OVER_LIMIT, "operators_over_total",                           \
      "Operators' requests refused over the bound of connections")            \
    X(OPERATORS_CLOSED, "operators_closed_total",                             \
      "Operators' connections closed to make room")                           \
    X(DATA_BYTES, "data_bytes_total", "Bytes sent to other nodes for calls")  \
    X(WORDS_OLD, "version_words_old_total",                                   \
      "Times that the last word of the version became old")                   \
    X(STORES_SLOW, "slow_stores_total",                                       \
      "Votes, entries or snapshots stored in over 100 ms")                    \
    X(MEMORY_REFUSED, "memory_refused_total",                                 \
      "Requests and attempts refused for memory")                             \
    X(CONNECTIONS_CLOSED, "connections_closed_total",                         \
      "Connections closed for memory or descriptors")                         \
    X(LOG_LINES_DROPPED, "log_lines_left_out_total", "Log lines not written")

/* One id per row of Cnt_LIST: Cnt_CALLS and so on. */
typedef enum {
#define X(id, name, help) Cnt_##id,
    Cnt_LIST(X)
#undef X
        Cnt_COUNT
} CounterId;

typedef struct {
    uint64_t values[Cnt_COUNT];
    uint32_t remainder_ns[Cnt_COUNT]; /* below 1 us, not yet in values */
} Counters;

void Cnt_Init(Counters *counters);
void Cnt_Add(Counters *counters, CounterId id, uint64_t amount);

/* Adds a duration in nanoseconds to a counter of microseconds.  The remainder
 * is kept for the next call; a negative duration adds nothing. */
void Cnt_AddNs(Counters *counters, CounterId id, int64_t ns);

uint64_t Cnt_Get(const Counters *counters, CounterId id);

/* Appends one gauge to OUT, in the format of Cnt_Print.  NAME is without the
 * prefix. */
void Cnt_PrintGauge(StrBuf *out, Str name, Str help, uint64_t value);

/* Appends all counters to OUT in text exposition format 0.0.4. */
void Cnt_Print(const Counters *counters, StrBuf *out);

#endif
