/* Node: one process of the system, made of its parts.
 *
 * The only place where the parts meet: it owns each of them, starts them in
 * order, and finishes them in the opposite one.
 */
#ifndef NODE_H
#define NODE_H

#include "process/announce.h"
#include "process/edge.h"
#include "process/members.h"
#include "process/operate.h"
#include "process/show.h"
#include "request/call.h"
#include "request/run.h"

typedef struct {
    Settings *settings;
    Loop loop;
    Logger logger;
    Counters counters;
    Rng rng;
    uint64_t incarnation;
    Timeline timeline;
    InForce *in_force;
    Net net;
    Adm admission;
    BckPool pool;
    Ann ann;
    Services services;
    Members members;
    CallHub calls;
    RunHub runs;
    Edge edge;
    Opr opr;
    Show show;
    LoopTimer tick;
} Node;

/* Start everything; false with ERR when an address or file cannot be had. */
bool Node_Init(Node *node, Settings *settings, Err *err);
void Node_Finish(Node *node);

/* Serve until Node_Stop. */
void Node_Run(Node *node);

#endif
