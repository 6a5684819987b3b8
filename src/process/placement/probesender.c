#include "process/placement/probesender.h"

#include "connection/callmsg.h"

/* The part of the node's inter-region byte rate that probes may use. */
#define PROBE_LINK_SHARE 0.01

void
Psd_Init(ProbeSender *sender, Net *net, Counters *counters, Services *services)
{
    ProbeLimits none = {0};

    *sender = (ProbeSender){
        .net = net,
        .counters = counters,
        .services = services,
    };
    Prb_Init(&sender->budget, &none, 0);
}

void
Psd_SetLimits(ProbeSender *sender, const PresetLimits *limits, Instant now)
{
    ProbeLimits probe_limits = {
        .bytes_per_s = limits->measure_bytes_per_s,
        .remote_bytes_per_s =
            (uint32_t)(limits->link_bytes_per_s * PROBE_LINK_SHARE),
        .cpu_permille = limits->measure_cpu_permille,
    };

    Prb_SetLimits(&sender->budget, &probe_limits, now);
}

static void
send_probe(ProbeSender *sender, const BackendLocation *location, Instant now)
{
    Pack pack;

    Callmsg_PackPing(&pack);
    Net_Send(sender->net, location->node, Pack_View(&pack), now);
    Pack_Finish(&pack);
    Cnt_Add(sender->counters, Cnt_MEASURE_MESSAGES, 1);
    Cnt_Add(sender->counters, Cnt_MEASURE_BYTES, Prb_BYTES_MAX);
    if (location->region != sender->services->placement_settings.region) {
        Cnt_Add(sender->counters, Cnt_MEASURE_LINK_BYTES, Prb_BYTES_MAX);
    }
}

void
Psd_OnTick(ProbeSender *sender, Instant now)
{
    int64_t start_ns = Loop_CpuNs();
    int64_t used_ns;

    for (size_t i = 0; i < sender->services->count; i++) {
        const BackendRow *row = Prb_ChooseTarget(
            &sender->budget, &sender->services->items[i]->placement, now);
        if (row) {
            send_probe(sender, &row->location, now);
        }
    }
    used_ns = Loop_CpuNs() - start_ns;
    Prb_ChargeCpu(&sender->budget, (double)used_ns / 1e3, now);
    Cnt_AddNs(sender->counters, Cnt_MEASURE_CPU_US, used_ns);
}
