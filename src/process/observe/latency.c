#include "process/observe/latency.h"

#include <math.h>

#define FIRST_BUCKET_S 0.001

static const struct {
    const char *name;
    const char *help;
} metric_texts[] = {
    [Lat_CALL] = {"call_seconds", "From a caller's request to its end"},
    [Lat_RUN] = {"run_seconds", "Attempts at the backend server"},
};

/* The upper bound of a bucket, in seconds; infinite for the last one. */
static double
get_upper_bound_s(size_t bucket)
{
    return bucket + 1 < Lat_BUCKET_COUNT ? ldexp(FIRST_BUCKET_S, (int)bucket)
                                         : INFINITY;
}

void
Lat_Init(LatencyHistograms *latency)
{
    double ranges[Lat_BUCKET_COUNT + 1] = {0};

    for (size_t i = 0; i < Lat_BUCKET_COUNT; i++) {
        ranges[i + 1] = get_upper_bound_s(i);
    }
    *latency = (LatencyHistograms){0};
    for (size_t i = 0; i < Lat_KIND_COUNT; i++) {
        latency->histograms[i] = gsl_histogram_alloc(Lat_BUCKET_COUNT);
        gsl_histogram_set_ranges(latency->histograms[i], ranges,
                                 Lat_BUCKET_COUNT + 1);
    }
}

void
Lat_Finish(LatencyHistograms *latency)
{
    for (size_t i = 0; i < Lat_KIND_COUNT; i++) {
        gsl_histogram_free(latency->histograms[i]);
    }
    *latency = (LatencyHistograms){0};
}

void
Lat_Record(LatencyHistograms *latency, LatencyKind kind, Span duration)
{
    double duration_s = duration > 0 ? (double)duration / 1e6 : 0;

    gsl_histogram_increment(latency->histograms[kind], duration_s);
    latency->sum_s[kind] += duration_s;
}

static void
print_histogram(const LatencyHistograms *latency, LatencyKind kind,
                StrBuf *out)
{
    const char *name = metric_texts[kind].name;
    double count = 0;

    StrBuf_AppendFmt(out,
                     "# HELP lycheeridge_%s %s\n"
                     "# TYPE lycheeridge_%s histogram\n",
                     name, metric_texts[kind].help, name);
    for (size_t i = 0; i < Lat_BUCKET_COUNT; i++) {
        count += gsl_histogram_get(latency->histograms[kind], i);
        if (i + 1 < Lat_BUCKET_COUNT) {
            StrBuf_AppendFmt(out, "lycheeridge_%s_bucket{le=\"%g\"} %.0f\n",
                             name, get_upper_bound_s(i), count);
        }
    }
    StrBuf_AppendFmt(out,
                     "lycheeridge_%s_bucket{le=\"+Inf\"} %.0f\n"
                     "lycheeridge_%s_sum %.6f\n"
                     "lycheeridge_%s_count %.0f\n",
                     name, count, name, latency->sum_s[kind], name, count);
}

void
Lat_Print(const LatencyHistograms *latency, StrBuf *out)
{
    for (size_t kind = 0; kind < Lat_KIND_COUNT; kind++) {
        print_histogram(latency, (LatencyKind)kind, out);
    }
}
