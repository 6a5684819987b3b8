/* Psd: sends the load probes that the probe budget allows, and counts them.
 *
 * A probe asks the node beside a backend server for a load report.  The node
 * (process/node.h) owns one ProbeSender and calls Psd_OnTick at each tick.
 */
#ifndef PROBESENDER_H
#define PROBESENDER_H

#include "process/net.h"
#include "process/placement/probe.h"
#include "process/placement/services.h"

typedef struct {
    Net *net;
    Counters *counters;
    Services *services;
    ProbeBudget budget;
} ProbeSender;

/* Sends no probe before Psd_SetLimits.  All pointers must outlive SENDER. */
void Psd_Init(ProbeSender *sender, Net *net, Counters *counters,
              Services *services);

/* Applies the limits of the preset in force. */
void Psd_SetLimits(ProbeSender *sender, const PresetLimits *limits,
                   Instant now);

/* Probes at most one backend server of each service. */
void Psd_OnTick(ProbeSender *sender, Instant now);

#endif
