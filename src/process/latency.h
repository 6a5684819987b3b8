/* Lat: how long things took, counted by length, and printed as histograms of
 * the text exposition format.
 *
 * One bucket for each doubling from 1 ms to over a minute: Lat_BUCKET_COUNT
 * counts a kind, whatever the number of calls.
 */
#ifndef LATENCY_H
#define LATENCY_H

#include <gsl/gsl_histogram.h>

#include "value/instant.h"
#include "value/str.h"

typedef enum {
    Lat_CALL, /* from the request that was read to the end of its answer */
    Lat_RUN,  /* of an attempt at the backend server beside this node */
    Lat_KIND_COUNT
} LatencyKind;

enum { Lat_BUCKET_COUNT = 18 };

typedef struct {
    gsl_histogram *histograms[Lat_KIND_COUNT];
    double sum_s[Lat_KIND_COUNT];
} LatencyHistograms;

void Lat_Init(LatencyHistograms *latencies);
void Lat_Finish(LatencyHistograms *latencies);

void Lat_Record(LatencyHistograms *latencies, LatencyKind kind, Span took);

void Lat_Print(const LatencyHistograms *latencies, StrBuf *out);

#endif
