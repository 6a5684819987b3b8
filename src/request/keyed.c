#include "request/keyed.h"

#include "value/mem.h"

struct ClaimSession {
    HashLink link; /* must be the first member; in sessions_by_claim */
    ClaimClient *client;
    ListLink list_link; /* in the client's list */
    AttemptId claim_id;
    /* names the register: the service's name, a line feed, the caller's key */
    StrBuf register_key;
    KeyClaimCallbacks callbacks;
    KeyClaim claim;
};

static void
free_session(ClaimSession *session)
{
    Lst_Drop(&session->client->sessions, &session->list_link);
    Hsh_Drop(&session->client->sessions_by_claim, &session->link);
    StrBuf_Finish(&session->register_key);
    Clm_Finish(&session->claim);
    Mem_Free(session);
}

static ClaimSession *
find_session(const ClaimClient *client, AttemptId claim)
{
    HashLink *link =
        Hsh_First(&client->sessions_by_claim, AttemptId_Hash(claim));

    while (link && !AttemptId_Equal(((ClaimSession *)link)->claim_id, claim)) {
        link = Hsh_Next(link);
    }
    return (ClaimSession *)link;
}

static void
send_control(ClaimClient *client, Addr node, Pack *pack, Instant now)
{
    Cnt_Add(client->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(client->counters, Cnt_CONTROL_BYTES, Pack_View(pack).len);
    Net_Send(client->net, node, Pack_View(pack), now);
}

static void
send_to_acceptors(ClaimSession *session, RegisterOperation operation,
                  const RegisterValue *value, Instant now)
{
    ClaimClient *client = session->client;
    RegisterRequestMessage msg = {
        .claim_id = session->claim_id,
        .phase = session->claim.phase,
        .operation = operation,
        .key = StrBuf_View(&session->register_key),
        .value = *value,
    };
    Pack pack;

    Claimmsg_PackRequest(&pack, &msg);
    for (uint32_t i = 0; i < client->acceptor_count; i++) {
        send_control(client, client->acceptors[i], &pack, now);
    }
    Pack_Finish(&pack);
}

static void
query_fate(ClaimSession *session, Instant now)
{
    const RegisterValue *queried = &session->claim.queried;
    FateRequestMessage msg = {
        .claim_id = session->claim_id,
        .attempt = queried->attempt,
        .target_incarnation = queried->node_incarnation,
    };
    Pack pack;

    Cnt_Add(session->client->counters, Cnt_FENCES, 1);
    Claimmsg_PackFateRequest(&pack, &msg);
    send_control(session->client, queried->node, &pack, now);
    Pack_Finish(&pack);
}

/* Reports to the acceptors that none of this call's attempts ran or will run.
 */
static void
release_own_attempts(ClaimSession *session, Instant now)
{
    RegisterValue value = {0};

    for (size_t i = 0; i < session->claim.own_attempt_count; i++) {
        value.attempt = session->claim.own_attempts[i];
        send_to_acceptors(session, Claim_RELEASED, &value, now);
    }
}

static void
send_ended(ClaimSession *session, const RegisterValue *ran, Str answer,
           Instant now)
{
    RegisterValue value = *ran;

    value.state = Reg_ENDED;
    value.answer = answer.len <= Key_ANSWER_BYTES_MAX ? answer : (Str){0};
    send_to_acceptors(session, Claim_ENDED, &value, now);
}

static void
finish_with_answer(ClaimSession *session, Instant now)
{
    KeyClaimCallbacks callbacks = session->callbacks;
    StrBuf kept = session->claim.answer;
    StoredAnswer answer;
    Unpack in;
    Err err = {0};

    if (session->claim.queried.state == Reg_PLACED) {
        send_ended(session, &session->claim.queried, StrBuf_View(&kept), now);
    }
    session->claim.answer = (StrBuf){0};
    free_session(session);
    if (!Unpack_Init(&in, StrBuf_View(&kept), &err)) {
        callbacks.on_end(callbacks.context, Clm_END_RAN, now);
    }
    else {
        if (Callmsg_ReadAnswer(&in, &answer, &err)) {
            callbacks.on_answer(callbacks.context, &answer, now);
        }
        else {
            callbacks.on_end(callbacks.context, Clm_END_RAN, now);
        }
        Unpack_Finish(&in);
    }
    StrBuf_Finish(&kept);
}

static void
end_session(ClaimSession *session, ClaimAction action, Instant now)
{
    KeyClaimCallbacks callbacks = session->callbacks;

    release_own_attempts(session, now);
    if (action == Clm_END_ANSWER) {
        finish_with_answer(session, now);
        return;
    }
    free_session(session);
    callbacks.on_end(callbacks.context, action, now);
}

static ClaimAction
choose_target(ClaimSession *session, Instant now)
{
    AttemptTarget target;

    if (!session->callbacks.choose_target(session->callbacks.context, &target,
                                          now)) {
        return Clm_OnNoTarget(&session->claim, now);
    }
    return Clm_OnTargetChosen(&session->claim, target.attempt, target.node,
                              target.incarnation, now);
}

static void
carry_out(ClaimSession *session, ClaimAction action, Instant now)
{
    RegisterValue promise = {.ballot = session->claim.ballot};

    if (action == Clm_CHOOSE_TARGET) {
        action = choose_target(session, now);
        promise.ballot = session->claim.ballot;
    }
    switch (action) {
    case Clm_WAIT:
    case Clm_CHOOSE_TARGET:
        break;
    case Clm_SEND_ACCEPT:
        send_to_acceptors(session, Claim_ACCEPT, &session->claim.proposal,
                          now);
        break;
    case Clm_SEND_PREPARE:
        send_to_acceptors(session, Claim_PREPARE, &promise, now);
        break;
    case Clm_QUERY_FATE:
        query_fate(session, now);
        break;
    case Clm_START_ATTEMPT:
        session->callbacks.start_attempt(session->callbacks.context, now);
        break;
    default:
        end_session(session, action, now);
        break;
    }
}

static uint32_t
find_acceptor_index(const ClaimClient *client, Addr addr)
{
    uint32_t i = 0;

    while (i < client->acceptor_count && client->acceptors[i] != addr) {
        i++;
    }
    return i;
}

static void
count_malformed(ClaimClient *client, const Err *err)
{
    Cnt_Add(client->counters, Cnt_MALFORMED, 1);
    Lgr_LogErr(client->logger, Lgr_WARNING, Str_LIT("message_refused"), err);
}

static void
on_register_reply(void *context, const NetOrigin *origin, Unpack *in,
                  Instant now)
{
    ClaimClient *client = context;
    RegisterReplyMessage msg;
    Err err = {0};
    ClaimSession *session;

    if (!Claimmsg_ReadReply(in, &msg, &err)) {
        count_malformed(client, &err);
        return;
    }
    session = find_session(client, msg.claim_id);
    if (session) {
        carry_out(
            session,
            Clm_OnAcceptorReply(&session->claim,
                                find_acceptor_index(client, origin->peer),
                                msg.phase, &msg.reply, now),
            now);
    }
}

static void
on_fate_reply(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    ClaimClient *client = context;
    FateReplyMessage msg;
    Err err = {0};
    ClaimSession *session;

    (void)origin;
    if (!Claimmsg_ReadFateReply(in, &msg, &err)) {
        count_malformed(client, &err);
        return;
    }
    session = find_session(client, msg.claim_id);
    if (session) {
        carry_out(session,
                  Clm_OnFate(&session->claim, msg.attempt, msg.fate,
                             msg.answer, now),
                  now);
    }
}

void
Key_InitClient(ClaimClient *client, Net *net, Counters *counters,
               Timeline *timeline, const Addr *acceptor_addrs,
               size_t addr_count)
{
    *client = (ClaimClient){
        .net = net,
        .counters = counters,
        .logger = timeline->logger,
        .timeline = timeline,
        .acceptors = acceptor_addrs,
        .acceptor_count = (uint32_t)addr_count,
    };
    Net_SetHandler(net, Wire_REGISTER_REPLY, on_register_reply, client);
    Net_SetHandler(net, Wire_FATE_REPLY, on_fate_reply, client);
}

void
Key_FinishClient(ClaimClient *client)
{
    ClaimSession *session;

    while ((session = Lst_First(&client->sessions))) {
        free_session(session);
    }
    Hsh_Finish(&client->sessions_by_claim);
}

void
Key_Tick(ClaimClient *client, Instant now)
{
    ListWalk walk;
    ClaimSession *session;

    Lst_Begin(&walk, &client->sessions);
    while ((session = Lst_Next(&walk))) {
        carry_out(session, Clm_Tick(&session->claim, now), now);
    }
}

ClaimSession *
Key_StartClaim(ClaimClient *client, AttemptId claim, Str service, Str key,
               uint64_t fingerprint, Instant deadline,
               const KeyClaimCallbacks *callbacks, Instant now)
{
    ClaimSession *session = Mem_Alloc(1, sizeof *session);

    session->client = client;
    session->claim_id = claim;
    session->callbacks = *callbacks;
    Lst_Prepend(&client->sessions, &session->list_link, session);
    Hsh_Add(&client->sessions_by_claim, &session->link, AttemptId_Hash(claim));
    StrBuf_AppendFmt(&session->register_key, "%.*s\n%.*s", Str_ARG(service),
                     Str_ARG(key));
    Clm_Init(&session->claim, client->acceptor_count, claim, fingerprint,
             deadline);
    carry_out(session, Clm_CHOOSE_TARGET, now);
    return session;
}

void
Key_CancelClaim(ClaimSession *session, Instant now)
{
    if (session->claim.state != Clm_GRANTED) {
        release_own_attempts(session, now);
    }
    free_session(session);
}

void
Key_OnAttemptRefused(ClaimSession *session, bool retry, Instant now)
{
    ClaimAction action = Clm_OnAttemptRefused(&session->claim);

    if (!retry) {
        action = Clm_OnNoTarget(&session->claim, now);
    }
    carry_out(session, action, now);
}

void
Key_OnAttemptEnded(ClaimSession *session, const StoredAnswer *answer,
                   Instant now)
{
    Pack pack;

    if (answer) {
        Callmsg_PackAnswer(&pack, answer);
        send_ended(session, &session->claim.proposal, Pack_View(&pack), now);
        Pack_Finish(&pack);
    }
    else {
        send_ended(session, &session->claim.proposal, (Str){0}, now);
    }
    free_session(session);
}
