#include "process/latency.h"

#include <math.h>

#define FIRST_S 0.001

static const struct {
    const char *name;
    const char *help;
} texts[] = {
    [Lat_CALL] = {"call_seconds", "From a caller's request to its end"},
    [Lat_RUN] = {"run_seconds", "Attempts at the backend server"},
};

/* The upper end of bucket NUMBER; the last one has none. */
static double
end_of(size_t number)
{
    return number + 1 < Lat_BUCKET_COUNT ? ldexp(FIRST_S, (int)number)
                                         : INFINITY;
}

void
Lat_Init(LatencyHistograms *latencies)
{
    double ranges[Lat_BUCKET_COUNT + 1] = {0};

    for (size_t i = 0; i < Lat_BUCKET_COUNT; i++) {
        ranges[i + 1] = end_of(i);
    }
    *latencies = (LatencyHistograms){0};
    for (size_t i = 0; i < Lat_KIND_COUNT; i++) {
        latencies->histograms[i] = gsl_histogram_alloc(Lat_BUCKET_COUNT);
        gsl_histogram_set_ranges(latencies->histograms[i], ranges,
                                 Lat_BUCKET_COUNT + 1);
    }
}

void
Lat_Finish(LatencyHistograms *latencies)
{
    for (size_t i = 0; i < Lat_KIND_COUNT; i++) {
        gsl_histogram_free(latencies->histograms[i]);
    }
    *latencies = (LatencyHistograms){0};
}

void
Lat_Record(LatencyHistograms *latencies, LatencyKind kind, Span took)
{
    double took_s = took > 0 ? (double)took / 1e6 : 0;

    gsl_histogram_increment(latencies->histograms[kind], took_s);
    latencies->sum_s[kind] += took_s;
}

static void
print_kind(const LatencyHistograms *latencies, LatencyKind kind, StrBuf *out)
{
    const char *name = texts[kind].name;
    double count = 0;

    StrBuf_AppendFmt(out,
                     "# HELP lycheeridge_%s %s\n"
                     "# TYPE lycheeridge_%s histogram\n",
                     name, texts[kind].help, name);
    for (size_t i = 0; i < Lat_BUCKET_COUNT; i++) {
        count += gsl_histogram_get(latencies->histograms[kind], i);
        if (i + 1 < Lat_BUCKET_COUNT) {
            StrBuf_AppendFmt(out, "lycheeridge_%s_bucket{le=\"%g\"} %.0f\n",
                             name, end_of(i), count);
        }
    }
    StrBuf_AppendFmt(out,
                     "lycheeridge_%s_bucket{le=\"+Inf\"} %.0f\n"
                     "lycheeridge_%s_sum %.6f\n"
                     "lycheeridge_%s_count %.0f\n",
                     name, count, name, latencies->sum_s[kind], name, count);
}

void
Lat_Print(const LatencyHistograms *latencies, StrBuf *out)
{
    for (size_t kind = 0; kind < Lat_KIND_COUNT; kind++) {
        print_kind(latencies, (LatencyKind)kind, out);
    }
}
