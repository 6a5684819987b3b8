/* Msr: sends the probes that the probe decider allows, and counts them. */
#ifndef PROBESENDER_H
#define PROBESENDER_H

#include "process/net.h"
#include "process/probe.h"
#include "process/services.h"

typedef struct {
    Net *net;
    Counters *counters;
    Services *services;
    ProbeBudget budget;
} ProbeSender;

void Psd_Init(ProbeSender *measure, Net *net, Counters *counters,
              Services *services);

/* The limits of the preset now in force. */
void Psd_SetLimits(ProbeSender *measure, const PstLimits *limits, Instant now);

/* Probe one backend server of each service at most. */
void Psd_OnTick(ProbeSender *measure, Instant now);

#endif
