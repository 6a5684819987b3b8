/* Lat: how long things took, counted by length, and printed as histograms of
 * the text exposition format.
 *
 * One bucket for each doubling from 1 ms to over a minute: Lat_BUCKETS counts
 * a kind, whatever the number of calls.
 */
#ifndef LATENCY_H
#define LATENCY_H

#include <gsl/gsl_histogram.h>

#include "value/instant.h"
#include "value/str.h"

typedef enum {
    Lat_CALL, /* from the request that was read to the end of its answer */
    Lat_RUN,  /* of an attempt at the backend server beside this node */
    Lat_COUNT
} LatKind;

enum { Lat_BUCKETS = 18 };

typedef struct {
    gsl_histogram *counts[Lat_COUNT];
    double sum_s[Lat_COUNT];
} Latencies;

void Lat_Init(Latencies *latencies);
void Lat_Finish(Latencies *latencies);

void Lat_Add(Latencies *latencies, LatKind kind, Span took);

void Lat_Print(const Latencies *latencies, StrBuf *out);

#endif
