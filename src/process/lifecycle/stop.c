#include "process/lifecycle/stop.h"

/* Time to accept callers whose connection is established and still in the
 * backlog of the listening socket, and for handshakes that are under way.
 * It begins when no new ones do, which a pause may have held up. */
#define ACCEPT_DELAY Span_MS(50)

/* Time for the first request of callers that were accepted last.  Without it,
 * where the notice is longer than the propagation time, they would be closed
 * in the step after. */
#define REQUEST_DELAY Span_MS(250)

/* The last part of the time limit, one in so many, in which no call is started
 * any more; of nested calls. */
enum { NO_START_DIVISOR = 2, NO_NESTED_START_DIVISOR = 6 };

/* A pause counts from this part of the propagation time on. */
enum { PAUSE_MIN_DIVISOR = 8 };

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

void
Stp_OnOwnPause(GracefulStop *stop, Span pause, Instant now)
{
    if (pause >= stop->settings.propagation_time / PAUSE_MIN_DIVISOR) {
        stop->resumed_at = now;
        stop->last_pause = pause;
    }
}

/* After a pause the other nodes get as long again to repeat what was not read,
 * and the time for it; not more than the propagation time, so that short
 * pauses do not hold a stop up. */
static bool
is_quiet_since_pause(const GracefulStop *stop, Instant now)
{
    Span required_time = 2 * stop->last_pause;

    if (required_time > stop->settings.propagation_time) {
        required_time = stop->settings.propagation_time;
    }
    return now - stop->resumed_at >= required_time;
}

/* True when the other nodes know that this node leaves: enough time has passed
 * since the signal, since the last attempt that one of them sent, and since
 * this node was last unable to read what they sent. */
static bool
is_propagated(const GracefulStop *stop, const StopActivity *activity,
              Instant now)
{
    Span required_time = stop->settings.propagation_time;

    return now - stop->signaled_at >= required_time &&
           is_quiet_since_pause(stop, now) &&
           (activity->last_peer_attempt_at == 0 ||
            now - activity->last_peer_attempt_at >= required_time);
}

static bool
is_idle(const StopActivity *activity)
{
    return activity->calls == 0 && activity->local_attempts == 0 &&
           activity->http_exchanges == 0 && activity->unconfirmed_peers == 0;
}

StopAction
Stp_NextStep(GracefulStop *stop, const StopActivity *activity, Instant now)
{
    Span elapsed = now - stop->signaled_at;

    if (!stop->signaled_at) {
        return Stp_WAIT;
    }
    if (!stop->has_left) {
        stop->has_left = true;
        stop->draining_at = stop->settings.notice_time == 0 ? now : 0;
        return Stp_LEAVE;
    }
    if (elapsed >= stop->settings.time_limit) {
        stop->timed_out = !is_idle(activity);
        return Stp_EXIT;
    }
    if (activity->partial_requests && !Stp_MayStartCalls(stop, false, now)) {
        return Stp_REJECT_PARTIAL;
    }
    if (!stop->draining_at) {
        stop->draining_at = elapsed >= stop->settings.notice_time ? now : 0;
        return stop->draining_at ? Stp_DISABLE_KEEP_ALIVE : Stp_WAIT;
    }
    if (!stop->stopped_listening_at) {
        stop->stopped_listening_at =
            now - stop->draining_at >= ACCEPT_DELAY ? now : 0;
        return stop->stopped_listening_at ? Stp_STOP_LISTENING : Stp_WAIT;
    }
    if (!is_propagated(stop, activity, now)) {
        return Stp_WAIT;
    }
    if (activity->caller_connections > activity->http_exchanges) {
        return now - stop->stopped_listening_at >= REQUEST_DELAY
                   ? Stp_CLOSE_IDLE_CONNECTIONS
                   : Stp_WAIT;
    }
    return is_idle(activity) ? Stp_EXIT : Stp_WAIT;
}

bool
Stp_MayStartCalls(const GracefulStop *stop, bool nested, Instant now)
{
    Span limit = stop->settings.time_limit;
    Span last_part =
        limit / (nested ? NO_NESTED_START_DIVISOR : NO_START_DIVISOR);

    return !stop->signaled_at || now - stop->signaled_at < limit - last_part;
}
