#include "process/probesender.h"

#include "connection/callmsg.h"

/* Of what a node may send across regions, the part for measuring. */
#define LINK_SHARE 0.01

void
Psd_Init(ProbeSender *measure, Net *net, Counters *counters,
         Services *services)
{
    ProbeLimits none = {0};

    *measure = (ProbeSender){
        .net = net,
        .counters = counters,
        .services = services,
    };
    Prb_Init(&measure->budget, &none, 0);
}

void
Psd_SetLimits(ProbeSender *measure, const PstLimits *limits, Instant now)
{
    ProbeLimits probe = {
        .bytes_per_s = limits->measure_bytes_per_s,
        .remote_bytes_per_s =
            (uint32_t)(limits->link_bytes_per_s * LINK_SHARE),
        .cpu_permille = limits->measure_cpu_permille,
    };

    Prb_SetLimits(&measure->budget, &probe, now);
}

static void
send_probe(ProbeSender *measure, const BackendLocation *place, Instant now)
{
    Pack pack;

    Callmsg_PackPing(&pack);
    Net_Send(measure->net, place->node, Pack_View(&pack), now);
    Pack_Finish(&pack);
    Cnt_Add(measure->counters, Cnt_MEASURE_MESSAGES, 1);
    Cnt_Add(measure->counters, Cnt_MEASURE_BYTES, Prb_BYTES_MAX);
    if (place->region != measure->services->placement.region) {
        Cnt_Add(measure->counters, Cnt_MEASURE_LINK, Prb_BYTES_MAX);
    }
}

void
Psd_OnTick(ProbeSender *measure, Instant now)
{
    int64_t start = Loop_CpuNs();
    int64_t took;

    for (size_t i = 0; i < measure->services->count; i++) {
        const BackendRow *row = Prb_ChooseTarget(
            &measure->budget, &measure->services->items[i]->placement, now);
        if (row) {
            send_probe(measure, &row->location, now);
        }
    }
    took = Loop_CpuNs() - start;
    Prb_ChargeCpu(&measure->budget, (double)took / 1e3, now);
    Cnt_AddNs(measure->counters, Cnt_MEASURE_CPU_US, took);
}
