/* Sdl: a schedule of disturbances of a fleet: nodes that are killed, frozen
 * and stopped, backend servers that turn slow, drain or fail, changes of
 * routes.
 *
 * A test draws the schedule with a seed, prints it, and lets it act at each
 * tick.  Times count from the start of the run.  Sdl_Act also watches that no
 * process ends by itself.
 */
#ifndef FLEET_STEPS_H
#define FLEET_STEPS_H

#include "fleet.h"
#include "value/rng.h"

typedef enum {
    Step_KILL,   /* the node, SIGKILL; starts again at the step's end */
    Step_FREEZE, /* the node, until the step's end */
    Step_STOP,   /* the node, SIGTERM; starts again when it has ended */
    Step_SLOW,   /* the backend server, until the step's end */
    Step_DRAIN,
    Step_FAIL,
    Step_ROUTES, /* a change of routes, sent to the node */
    Step_KINDS
} StepKind;

typedef struct {
    StepKind kind;
    int vm;
    Span at;
    Span until;
    bool has_begun;
    bool has_ended;
    bool is_counted;   /* of a drained server, when it should have no more
                          requests */
    uint64_t refusals; /* of that server at that time */
} Step;

enum { Sdl_STEPS_MAX = 64 };

/* A change of routes that is sent and not answered yet. */
typedef struct {
    int fd; /* -1: none */
    int revision;
    StrBuf answer;
} StepChange;

typedef struct {
    Fleet *fleet;
    Step steps[Sdl_STEPS_MAX];
    int step_count;
    /* Prints routes for revision REVISION into OUT, as in Ops_PutRoutes. */
    void (*print_routes)(int revision, StrBuf *out);
    StepChange change;
    int last_revision; /* sent */
    int base;          /* the newest revision known to be accepted */
    int unanswered;    /* a revision that may be accepted; 0: none */
    int changed_count; /* changes accepted */
    int fault_count;
    StrBuf faults; /* a line for each */
} Schedule;

/* Draws steps of which the last ends before LENGTH.  At most two nodes are
 * away at a time, one control replica, and one backend server of a service. */
void Sdl_Draw(Schedule *schedule, Rng *rng, Fleet *fleet, Span length);
void Sdl_Finish(Schedule *schedule);

/* Appends a line for each step. */
void Sdl_Print(const Schedule *schedule, StrBuf *out);

/* Begins and ends the steps that are due at ELAPSED.  Returns whether steps
 * remain. */
bool Sdl_Act(Schedule *schedule, Span elapsed);

/* Stops all nodes, with SIGTERM, and checks how they end. */
void Sdl_StopAll(Schedule *schedule);

#endif
