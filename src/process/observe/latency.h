/* Lat: latency histograms for the metrics page, in the Prometheus text
 * exposition format.
 *
 * The limits of the buckets double from 1 ms to over a minute.  The memory is
 * Lat_BUCKET_COUNT counters for each kind, whatever the number of calls.
 */
#ifndef LATENCY_H
#define LATENCY_H

#include <gsl/gsl_histogram.h>

#include "value/instant.h"
#include "value/str.h"

typedef enum {
    Lat_CALL, /* calls: from the request read to the end of its answer */
    Lat_RUN,  /* attempts at the backend server beside this node */
    Lat_KIND_COUNT
} LatencyKind;

enum { Lat_BUCKET_COUNT = 18 };

typedef struct {
    gsl_histogram *histograms[Lat_KIND_COUNT]; /* owned; of seconds */
    double sum_s[Lat_KIND_COUNT];
} LatencyHistograms;

void Lat_Init(LatencyHistograms *latency);
void Lat_Finish(LatencyHistograms *latency);

/* Adds one duration; a negative one counts as 0. */
void Lat_Record(LatencyHistograms *latency, LatencyKind kind, Span duration);

/* Appends all histograms to OUT. */
void Lat_Print(const LatencyHistograms *latency, StrBuf *out);

#endif
