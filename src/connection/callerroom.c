#include "connection/callerstate.h"
#include "process/observe/counters.h"

/* What one connection costs: its own state, and what the library keeps. */
enum { CONNECTION_BYTES = sizeof(CallerConnection) + 2048 };

/* What one request costs beside its text and its body: its own state, and that
 * of the call that it becomes. */
enum { REQUEST_BYTES = sizeof(CallerRequest) + 8192 };

static void
count(const CallerListener *listener, CounterId id)
{
    if (listener->counters) {
        Cnt_Add(listener->counters, id, 1);
    }
}

/* What is kept of the request that is being read. */
static size_t
count_incoming(const CallerConnection *connection)
{
    return connection->input_held +
           (connection->incoming ? connection->incoming->held : 0);
}

/* Chooses the connection whose request, not read completely, is given up
 * first. */
static CallerConnection *
choose_input(CallerListener *listener, Instant now)
{
    BudgetChoice choice = {0};
    ListWalk walk;
    CallerConnection *connection;

    Lst_Begin(&walk, &listener->connections);
    while ((connection = Lst_Next(&walk))) {
        if (!connection->ignores_input && connection->reader.in_message &&
            count_incoming(connection) > 0) {
            Bdg_Consider(&choice, connection, count_incoming(connection),
                         now - connection->message_start);
        }
    }
    return choice.item;
}

/* Rejects requests that are being read, until there is slack or the next one
 * would be that of CONNECTION itself.  Returns whether any was rejected. */
static bool
reject_others(CallerConnection *connection)
{
    CallerListener *listener = connection->listener;
    Instant now = Ccn_Now(listener);
    CallerConnection *other;
    bool has_rejected = false;

    while (!Bdg_HasSlack(listener->budget, Bdg_CALLERS) &&
           (other = choose_input(listener, now)) && other != connection &&
           !other->in_reader) {
        Ccn_RejectInput(other, Ccn_UNAVAILABLE);
        count(listener, Cnt_MEMORY_REFUSED);
        has_rejected = true;
    }
    return has_rejected;
}

bool
Ccn_Hold(CallerConnection *connection, size_t *held, size_t bytes)
{
    CallerListener *listener = connection->listener;

    if (!listener->budget ||
        Bdg_Resize(listener->budget, Bdg_CALLERS, held, bytes)) {
        return true;
    }
    if (bytes <= Bdg_SMALL_BYTES && reject_others(connection) &&
        Bdg_Resize(listener->budget, Bdg_CALLERS, held, bytes)) {
        return true;
    }
    count(listener, Cnt_MEMORY_REFUSED);
    return false;
}

static void
let_go(CallerListener *listener, BudgetKind kind, size_t *held, size_t bytes)
{
    if (listener->budget) {
        Bdg_Force(listener->budget, kind, held, bytes);
    }
}

bool
Ccn_HoldRequest(CallerRequest *request, size_t body_bytes)
{
    return Ccn_Hold(request->connection, &request->held,
                    REQUEST_BYTES + request->text.cap + body_bytes);
}

void
Ccn_ReleaseBody(CallerRequest *request)
{
    CallerListener *listener = request->connection->listener;
    size_t rest = REQUEST_BYTES + request->text.cap;

    Bod_Release(request->body);
    request->body = NULL;
    if (request->held > rest) {
        let_go(listener, Bdg_CALLERS, &request->held, rest);
    }
}

void
Ccn_ReleaseRequest(CallerRequest *request)
{
    Ccn_ReleaseBody(request);
    let_go(request->connection->listener, Bdg_CALLERS, &request->held, 0);
}

bool
Ccn_HoldInput(CallerConnection *connection)
{
    struct evbuffer *input = bufferevent_get_input(connection->bev);

    return Ccn_Hold(connection, &connection->input_held,
                    connection->reader.head_text.cap +
                        evbuffer_get_length(input));
}

void
Ccn_ReleaseInput(CallerConnection *connection)
{
    Hrd_DropHead(&connection->reader);
    let_go(connection->listener, Bdg_CALLERS, &connection->input_held, 0);
}

/* Whether CONNECTION has nothing that its caller could miss. */
static bool
may_close(const CallerConnection *connection)
{
    return !connection->in_reader && !connection->first_request &&
           !connection->first_unsent && !connection->answers_held;
}

/* Closes the connection that has been idle, or busy with its first part of a
 * request, for longest; before these, one that waits for its caller to close
 * it.  Returns false when there is none. */
static bool
close_one(CallerListener *listener, const CallerConnection *but, Instant now)
{
    BudgetChoice choice = {0};
    ListWalk walk;
    CallerConnection *connection;

    Lst_Begin(&walk, &listener->connections);
    while ((connection = Lst_Next(&walk))) {
        if (connection != but && may_close(connection)) {
            bool is_ending = connection->closes_after_flush ||
                             connection->resets_after_flush;
            Bdg_Consider(&choice, connection,
                         is_ending                ? SIZE_MAX
                         : connection->has_served ? 0
                                                  : Bdg_SMALL_BYTES,
                         now - connection->timer_start);
        }
    }
    if (choice.item) {
        count(listener, Cnt_CONNECTIONS_CLOSED);
        Ccn_Free(choice.item, Ccn_NO_ROOM);
    }
    return choice.item != NULL;
}

static bool
has_connection_room(const CallerListener *listener)
{
    return !listener->connections_max ||
           listener->connections.count <= listener->connections_max;
}

void
Ccn_HoldConnection(CallerConnection *connection)
{
    CallerListener *listener = connection->listener;
    Instant now = Ccn_Now(listener);
    bool has_room =
        !listener->budget || Bdg_Resize(listener->budget, Bdg_CONNECTIONS,
                                        &connection->held, CONNECTION_BYTES);

    let_go(listener, Bdg_CONNECTIONS, &connection->held, CONNECTION_BYTES);
    while ((!has_room || !has_connection_room(listener)) &&
           close_one(listener, connection, now)) {
        has_room = true;
    }
    if (!has_room || !has_connection_room(listener)) {
        Ccn_PauseAccepting(listener);
    }
}

void
Ccn_ReleaseConnection(CallerConnection *connection)
{
    CallerListener *listener = connection->listener;

    Ccn_ReleaseInput(connection);
    let_go(listener, Bdg_ANSWERS, &connection->answers_held, 0);
    let_go(listener, Bdg_CONNECTIONS, &connection->held, 0);
}

void
Ccn_CountOutput(CallerConnection *connection, size_t added, size_t deleted)
{
    if (!connection->answers_held) {
        connection->taken_at = connection->listener->checked_at;
    }
    let_go(connection->listener, Bdg_ANSWERS, &connection->answers_held,
           connection->answers_held + added - deleted);
}

/* Chooses the caller that has left the most unread for longest. */
static CallerConnection *
choose_reader(CallerListener *listener, Instant now)
{
    BudgetChoice choice = {0};
    ListWalk walk;
    CallerConnection *connection;

    Lst_Begin(&walk, &listener->connections);
    while ((connection = Lst_Next(&walk))) {
        if (connection->answers_held && !connection->in_reader &&
            !connection->is_given_up) {
            Bdg_Consider(&choice, connection, connection->answers_held,
                         now - connection->taken_at);
        }
    }
    return choice.item;
}

bool
Ccn_HasAnswerRoom(CallerConnection *connection)
{
    CallerListener *listener = connection->listener;
    CallerConnection *other;

    if (connection->is_given_up) {
        return false;
    }
    while (listener->budget && Bdg_IsOver(listener->budget, Bdg_ANSWERS) &&
           (other = choose_reader(listener, Ccn_Now(listener)))) {
        count(listener, Cnt_CONNECTIONS_CLOSED);
        if (other == connection) {
            connection->is_given_up = true;
            bufferevent_disable(connection->bev, EV_WRITE);
            event_active(listener->give_up_event, EV_TIMEOUT, 0);
            return false;
        }
        Ccn_Free(other, Ccn_NO_ROOM);
    }
    return true;
}
