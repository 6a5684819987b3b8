#include "process/stop.h"

/* For callers whose connection was made, and not taken up yet. */
#define ACCEPT Span_MS(50)

void
Stp_Init(Stp *stop, const StpSettings *settings)
{
    *stop = (Stp){.settings = *settings};
}

void
Stp_OnSignal(Stp *stop, Instant now)
{
    if (stop->since) {
        stop->settings.bound = 0;
        return;
    }
    stop->since = now;
}

static bool
is_settled(const Stp *stop, const StpLoad *load, Instant now)
{
    Span settle = stop->settings.settle;

    return now - stop->since >= settle &&
           (load->asked_at == 0 || now - load->asked_at >= settle);
}

static bool
is_idle(const StpLoad *load)
{
    return load->calls == 0 && load->runs == 0 && load->answers == 0;
}

StpStep
Stp_Decide(Stp *stop, const StpLoad *load, Instant now)
{
    Span age = now - stop->since;

    if (!stop->since) {
        return Stp_NOTHING;
    }
    if (!stop->left) {
        stop->left = true;
        stop->refused = stop->settings.notice == 0;
        return Stp_LEAVE;
    }
    if (age >= stop->settings.bound) {
        stop->bounded = !is_idle(load);
        return Stp_END;
    }
    if (!stop->refused) {
        stop->refused = age >= stop->settings.notice;
        return stop->refused ? Stp_REFUSE : Stp_NOTHING;
    }
    if (!stop->deaf) {
        stop->deaf = age >= stop->settings.notice + ACCEPT;
        return stop->deaf ? Stp_STOP_LISTENING : Stp_NOTHING;
    }
    if (!is_settled(stop, load, now)) {
        return Stp_NOTHING;
    }
    if (load->callers > load->answers) {
        return Stp_CLOSE_IDLE;
    }
    return is_idle(load) ? Stp_END : Stp_NOTHING;
}
