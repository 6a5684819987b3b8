#include "process/stop.h"

/* For callers whose connection was made, and not taken up yet. */
#define ACCEPT Span_MS(50)

void
Stp_Init(GracefulStop *stop, const StopSettings *settings)
{
    *stop = (GracefulStop){.settings = *settings};
}

void
Stp_OnSignal(GracefulStop *stop, Instant now)
{
    if (stop->signaled_at) {
        stop->settings.time_limit = 0;
        return;
    }
    stop->signaled_at = now;
}

static bool
is_settled(const GracefulStop *stop, const StopActivity *load, Instant now)
{
    Span settle = stop->settings.propagation_time;

    return now - stop->signaled_at >= settle &&
           (load->last_peer_attempt_at == 0 ||
            now - load->last_peer_attempt_at >= settle);
}

static bool
is_idle(const StopActivity *load)
{
    return load->calls == 0 && load->local_attempts == 0 &&
           load->http_exchanges == 0;
}

StopAction
Stp_NextStep(GracefulStop *stop, const StopActivity *load, Instant now)
{
    Span age = now - stop->signaled_at;

    if (!stop->signaled_at) {
        return Stp_WAIT;
    }
    if (!stop->has_left) {
        stop->has_left = true;
        stop->keep_alive_disabled = stop->settings.notice_time == 0;
        return Stp_LEAVE;
    }
    if (age >= stop->settings.time_limit) {
        stop->timed_out = !is_idle(load);
        return Stp_EXIT;
    }
    if (!stop->keep_alive_disabled) {
        stop->keep_alive_disabled = age >= stop->settings.notice_time;
        return stop->keep_alive_disabled ? Stp_DISABLE_KEEP_ALIVE : Stp_WAIT;
    }
    if (!stop->stopped_listening) {
        stop->stopped_listening = age >= stop->settings.notice_time + ACCEPT;
        return stop->stopped_listening ? Stp_STOP_LISTENING : Stp_WAIT;
    }
    if (!is_settled(stop, load, now)) {
        return Stp_WAIT;
    }
    if (load->client_connections > load->http_exchanges) {
        return Stp_CLOSE_IDLE_CONNECTIONS;
    }
    return is_idle(load) ? Stp_EXIT : Stp_WAIT;
}
