/* Msr: sends the probes that the probe decider allows, and counts them. */
#ifndef MEASURE_H
#define MEASURE_H

#include "process/net.h"
#include "process/probe.h"
#include "process/services.h"

typedef struct {
    Net *net;
    Counters *counters;
    Services *services;
    ProbeBudget probe;
} Measure;

void Msr_Init(Measure *measure, Net *net, Counters *counters,
              Services *services);

/* The limits of the preset now in force. */
void Msr_SetLimits(Measure *measure, const PstLimits *limits, Instant now);

/* Probe one backend server of each service at most. */
void Msr_OnTick(Measure *measure, Instant now);

#endif
