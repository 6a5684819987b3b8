#include "request/keyed.h"

#include "value/mem.h"

struct ClaimSession {
    HshLink link; /* first: found by claim */
    ClaimClient *hub;
    ClaimSession *next;
    ClaimSession *previous;
    AttemptId claim_id;
    StrBuf register_key; /* of the register: service and key */
    KeyClaimCallbacks sink;
    KeyClaim claim;
};

static void
free_keyed(ClaimSession *keyed)
{
    if (keyed->previous) {
        keyed->previous->next = keyed->next;
    }
    else {
        keyed->hub->first_session = keyed->next;
    }
    if (keyed->next) {
        keyed->next->previous = keyed->previous;
    }
    Hsh_Drop(&keyed->hub->sessions_by_claim, &keyed->link);
    StrBuf_Finish(&keyed->register_key);
    Clm_Finish(&keyed->claim);
    Mem_Free(keyed);
}

static ClaimSession *
find_keyed(const ClaimClient *hub, AttemptId claim)
{
    HshLink *link = Hsh_First(&hub->sessions_by_claim, AttemptId_Hash(claim));

    while (link && !AttemptId_Equal(((ClaimSession *)link)->claim_id, claim)) {
        link = Hsh_Next(link);
    }
    return (ClaimSession *)link;
}

static void
send_control(ClaimClient *hub, Addr node, Pack *pack, Instant now)
{
    Cnt_Add(hub->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(hub->counters, Cnt_CONTROL_BYTES, Pack_View(pack).len);
    Net_Send(hub->net, node, Pack_View(pack), now);
}

static void
send_claim(ClaimSession *keyed, ClaimVerb verb, const RegValue *value,
           Instant now)
{
    ClaimClient *hub = keyed->hub;
    ClaimMsg msg = {
        .claim = keyed->claim_id,
        .phase = keyed->claim.phase,
        .verb = verb,
        .key = StrBuf_View(&keyed->register_key),
        .value = *value,
    };
    Pack pack;

    Claimmsg_PackClaim(&pack, &msg);
    for (uint32_t i = 0; i < hub->acceptor_count; i++) {
        send_control(hub, hub->acceptors[i], &pack, now);
    }
    Pack_Finish(&pack);
}

static void
ask_fate(ClaimSession *keyed, Instant now)
{
    const RegValue *asked = &keyed->claim.queried;
    FateAskMsg msg = {
        .claim = keyed->claim_id,
        .attempt = asked->attempt,
        .incarnation = asked->incarnation,
    };
    Pack pack;

    Cnt_Add(keyed->hub->counters, Cnt_FENCES, 1);
    Claimmsg_PackFateAsk(&pack, &msg);
    send_control(keyed->hub, asked->node, &pack, now);
    Pack_Finish(&pack);
}

/* None of this call's attempts runs, nor ever will. */
static void
release_all(ClaimSession *keyed, Instant now)
{
    RegValue value = {0};

    for (size_t i = 0; i < keyed->claim.own_attempt_count; i++) {
        value.attempt = keyed->claim.own_attempts[i];
        send_claim(keyed, Claim_RELEASED, &value, now);
    }
}

static void
send_ended(ClaimSession *keyed, const RegValue *ran, Str answer, Instant now)
{
    RegValue value = *ran;

    value.state = Reg_ENDED;
    value.answer = answer.len <= Key_ANSWER_BYTES_MAX ? answer : (Str){0};
    send_claim(keyed, Claim_ENDED, &value, now);
}

static void
tell_answer(ClaimSession *keyed, Instant now)
{
    KeyClaimCallbacks sink = keyed->sink;
    StrBuf kept = keyed->claim.answer;
    AnswerMsg answer;
    Unpack in;
    Err err = {0};

    if (keyed->claim.queried.state == Reg_PLACED) {
        send_ended(keyed, &keyed->claim.queried, StrBuf_View(&kept), now);
    }
    keyed->claim.answer = (StrBuf){0};
    free_keyed(keyed);
    if (!Unpack_Init(&in, StrBuf_View(&kept), &err)) {
        sink.on_end(sink.context, Clm_END_RAN, now);
    }
    else {
        if (Callmsg_ReadAnswer(&in, &answer, &err)) {
            sink.on_answer(sink.context, &answer, now);
        }
        else {
            sink.on_end(sink.context, Clm_END_RAN, now);
        }
        Unpack_Finish(&in);
    }
    StrBuf_Finish(&kept);
}

static void
tell(ClaimSession *keyed, ClaimAction step, Instant now)
{
    KeyClaimCallbacks sink = keyed->sink;

    release_all(keyed, now);
    if (step == Clm_END_ANSWER) {
        tell_answer(keyed, now);
        return;
    }
    free_keyed(keyed);
    sink.on_end(sink.context, step, now);
}

static ClaimAction
place(ClaimSession *keyed, Instant now)
{
    AttemptTarget place;

    if (!keyed->sink.choose_target(keyed->sink.context, &place, now)) {
        return Clm_OnNoTarget(&keyed->claim, now);
    }
    return Clm_OnTargetChosen(&keyed->claim, place.attempt, place.node,
                              place.incarnation, now);
}

static void
carry_out(ClaimSession *keyed, ClaimAction step, Instant now)
{
    RegValue promise = {.ballot = keyed->claim.ballot};

    if (step == Clm_CHOOSE_TARGET) {
        step = place(keyed, now);
        promise.ballot = keyed->claim.ballot;
    }
    switch (step) {
    case Clm_WAIT:
    case Clm_CHOOSE_TARGET:
        break;
    case Clm_SEND_ACCEPT:
        send_claim(keyed, Claim_ACCEPT, &keyed->claim.proposal, now);
        break;
    case Clm_SEND_PREPARE:
        send_claim(keyed, Claim_PROMISE, &promise, now);
        break;
    case Clm_QUERY_FATE:
        ask_fate(keyed, now);
        break;
    case Clm_START_ATTEMPT:
        keyed->sink.start_attempt(keyed->sink.context, now);
        break;
    default:
        tell(keyed, step, now);
        break;
    }
}

static uint32_t
holder_number(const ClaimClient *hub, Addr addr)
{
    uint32_t i = 0;

    while (i < hub->acceptor_count && hub->acceptors[i] != addr) {
        i++;
    }
    return i;
}

static void
count_malformed(ClaimClient *hub, const Err *err)
{
    Cnt_Add(hub->counters, Cnt_MALFORMED, 1);
    Lgr_LogErr(hub->logger, Lgr_WARNING, Str_LIT("message_refused"), err);
}

static void
on_claimed(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    ClaimClient *hub = context;
    ClaimedMsg msg;
    Err err = {0};
    ClaimSession *keyed;

    if (!Claimmsg_ReadClaimed(in, &msg, &err)) {
        count_malformed(hub, &err);
        return;
    }
    keyed = find_keyed(hub, msg.claim);
    if (keyed) {
        carry_out(keyed,
                  Clm_OnAcceptorReply(&keyed->claim,
                                      holder_number(hub, origin->peer),
                                      msg.phase, &msg.answer, now),
                  now);
    }
}

static void
on_fate(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    ClaimClient *hub = context;
    FateMsg msg;
    Err err = {0};
    ClaimSession *keyed;

    (void)origin;
    if (!Claimmsg_ReadFate(in, &msg, &err)) {
        count_malformed(hub, &err);
        return;
    }
    keyed = find_keyed(hub, msg.claim);
    if (keyed) {
        carry_out(
            keyed,
            Clm_OnFate(&keyed->claim, msg.attempt, msg.fate, msg.answer, now),
            now);
    }
}

void
Key_InitClient(ClaimClient *hub, Net *net, Counters *counters,
               Timeline *timeline, const Addr *holders, size_t holder_count)
{
    *hub = (ClaimClient){
        .net = net,
        .counters = counters,
        .logger = timeline->logger,
        .timeline = timeline,
        .acceptors = holders,
        .acceptor_count = (uint32_t)holder_count,
    };
    Net_On(net, Wire_CLAIMED, on_claimed, hub);
    Net_On(net, Wire_FATE, on_fate, hub);
}

void
Key_FinishClient(ClaimClient *hub)
{
    while (hub->first_session) {
        free_keyed(hub->first_session);
    }
    Hsh_Finish(&hub->sessions_by_claim);
}

void
Key_Tick(ClaimClient *hub, Instant now)
{
    ClaimSession *next;

    for (ClaimSession *keyed = hub->first_session; keyed; keyed = next) {
        next = keyed->next;
        carry_out(keyed, Clm_Tick(&keyed->claim, now), now);
    }
}

ClaimSession *
Key_StartClaim(ClaimClient *hub, AttemptId claim, Str service, Str key,
               uint64_t digest, Instant deadline,
               const KeyClaimCallbacks *sink, Instant now)
{
    ClaimSession *keyed = Mem_Alloc(1, sizeof *keyed);

    keyed->hub = hub;
    keyed->claim_id = claim;
    keyed->sink = *sink;
    keyed->next = hub->first_session;
    if (hub->first_session) {
        hub->first_session->previous = keyed;
    }
    hub->first_session = keyed;
    Hsh_Add(&hub->sessions_by_claim, &keyed->link, AttemptId_Hash(claim));
    StrBuf_AppendFmt(&keyed->register_key, "%.*s\n%.*s", Str_ARG(service),
                     Str_ARG(key));
    Clm_Init(&keyed->claim, hub->acceptor_count, claim, digest, deadline);
    carry_out(keyed, Clm_CHOOSE_TARGET, now);
    return keyed;
}

void
Key_CancelClaim(ClaimSession *keyed, Instant now)
{
    if (keyed->claim.state != Clm_GRANTED) {
        release_all(keyed, now);
    }
    free_keyed(keyed);
}

void
Key_OnAttemptRefused(ClaimSession *keyed, bool again, Instant now)
{
    ClaimAction step = Clm_OnAttemptRefused(&keyed->claim);

    if (!again) {
        step = Clm_OnNoTarget(&keyed->claim, now);
    }
    carry_out(keyed, step, now);
}

void
Key_OnAttemptEnded(ClaimSession *keyed, const AnswerMsg *answer, Instant now)
{
    Pack pack;

    if (answer) {
        Callmsg_PackAnswer(&pack, answer);
        send_ended(keyed, &keyed->claim.proposal, Pack_View(&pack), now);
        Pack_Finish(&pack);
    }
    else {
        send_ended(keyed, &keyed->claim.proposal, (Str){0}, now);
    }
    free_keyed(keyed);
}
