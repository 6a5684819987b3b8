#include "request/keyed.h"

#include "value/mem.h"

struct Keyed {
    HshLink link; /* first: found by claim */
    KeyHub *hub;
    Keyed *next;
    Keyed *previous;
    AttemptId claim_id;
    StrBuf key; /* of the register: service and key */
    KeySink sink;
    Clm claim;
};

static void
free_keyed(Keyed *keyed)
{
    if (keyed->previous) {
        keyed->previous->next = keyed->next;
    }
    else {
        keyed->hub->first = keyed->next;
    }
    if (keyed->next) {
        keyed->next->previous = keyed->previous;
    }
    Hsh_Drop(&keyed->hub->by_claim, &keyed->link);
    StrBuf_Finish(&keyed->key);
    Clm_Finish(&keyed->claim);
    Mem_Free(keyed);
}

static Keyed *
find_keyed(const KeyHub *hub, AttemptId claim)
{
    HshLink *link = Hsh_First(&hub->by_claim, AttemptId_Hash(claim));

    while (link && !AttemptId_Equal(((Keyed *)link)->claim_id, claim)) {
        link = Hsh_Next(link);
    }
    return (Keyed *)link;
}

static void
send_control(KeyHub *hub, Addr node, Pack *pack, Instant now)
{
    Cnt_Add(hub->counters, Cnt_CONTROL_MESSAGES, 1);
    Cnt_Add(hub->counters, Cnt_CONTROL_BYTES, Pack_View(pack).len);
    Net_Send(hub->net, node, Pack_View(pack), now);
}

static void
send_claim(Keyed *keyed, ClaimVerb verb, const RegValue *value, Instant now)
{
    KeyHub *hub = keyed->hub;
    ClaimMsg msg = {
        .claim = keyed->claim_id,
        .phase = keyed->claim.phase,
        .verb = verb,
        .key = StrBuf_View(&keyed->key),
        .value = *value,
    };
    Pack pack;

    Claimmsg_PackClaim(&pack, &msg);
    for (uint32_t i = 0; i < hub->holder_count; i++) {
        send_control(hub, hub->holders[i], &pack, now);
    }
    Pack_Finish(&pack);
}

static void
ask_fate(Keyed *keyed, Instant now)
{
    const RegValue *asked = &keyed->claim.asked;
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
release_all(Keyed *keyed, Instant now)
{
    RegValue value = {0};

    for (size_t i = 0; i < keyed->claim.own_count; i++) {
        value.attempt = keyed->claim.own[i];
        send_claim(keyed, Claim_RELEASED, &value, now);
    }
}

static void
send_ended(Keyed *keyed, const RegValue *ran, Str answer, Instant now)
{
    RegValue value = *ran;

    value.state = Reg_ENDED;
    value.answer = answer.len <= Key_ANSWER_MAX ? answer : (Str){0};
    send_claim(keyed, Claim_ENDED, &value, now);
}

static void
tell_answer(Keyed *keyed, Instant now)
{
    KeySink sink = keyed->sink;
    StrBuf kept = keyed->claim.answer;
    AnswerMsg answer;
    Unpack in;
    Err err = {0};

    if (keyed->claim.asked.state == Reg_PLACED) {
        send_ended(keyed, &keyed->claim.asked, StrBuf_View(&kept), now);
    }
    keyed->claim.answer = (StrBuf){0};
    free_keyed(keyed);
    if (!Unpack_Init(&in, StrBuf_View(&kept), &err)) {
        sink.end(sink.context, Clm_TELL_RAN, now);
    }
    else {
        if (Callmsg_ReadAnswer(&in, &answer, &err)) {
            sink.answer(sink.context, &answer, now);
        }
        else {
            sink.end(sink.context, Clm_TELL_RAN, now);
        }
        Unpack_Finish(&in);
    }
    StrBuf_Finish(&kept);
}

static void
tell(Keyed *keyed, ClmStep step, Instant now)
{
    KeySink sink = keyed->sink;

    release_all(keyed, now);
    if (step == Clm_TELL_ANSWER) {
        tell_answer(keyed, now);
        return;
    }
    free_keyed(keyed);
    sink.end(sink.context, step, now);
}

static ClmStep
place(Keyed *keyed, Instant now)
{
    KeyPlace place;

    if (!keyed->sink.place(keyed->sink.context, &place, now)) {
        return Clm_OnNobody(&keyed->claim, now);
    }
    return Clm_OnPlaced(&keyed->claim, place.attempt, place.node,
                        place.incarnation, now);
}

static void
carry_out(Keyed *keyed, ClmStep step, Instant now)
{
    RegValue promise = {.ballot = keyed->claim.ballot};

    if (step == Clm_PLACE) {
        step = place(keyed, now);
        promise.ballot = keyed->claim.ballot;
    }
    switch (step) {
    case Clm_WAIT:
    case Clm_PLACE:
        break;
    case Clm_SEND_ACCEPT:
        send_claim(keyed, Claim_ACCEPT, &keyed->claim.value, now);
        break;
    case Clm_SEND_PROMISE:
        send_claim(keyed, Claim_PROMISE, &promise, now);
        break;
    case Clm_ASK:
        ask_fate(keyed, now);
        break;
    case Clm_RUN:
        keyed->sink.run(keyed->sink.context, now);
        break;
    default:
        tell(keyed, step, now);
        break;
    }
}

static uint32_t
holder_number(const KeyHub *hub, Addr addr)
{
    uint32_t i = 0;

    while (i < hub->holder_count && hub->holders[i] != addr) {
        i++;
    }
    return i;
}

static void
count_malformed(KeyHub *hub, const Err *err)
{
    Cnt_Add(hub->counters, Cnt_MALFORMED, 1);
    Lgr_LogErr(hub->logger, Lgr_WARNING, Str_LIT("message_refused"), err);
}

static void
on_claimed(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    KeyHub *hub = context;
    ClaimedMsg msg;
    Err err = {0};
    Keyed *keyed;

    if (!Claimmsg_ReadClaimed(in, &msg, &err)) {
        count_malformed(hub, &err);
        return;
    }
    keyed = find_keyed(hub, msg.claim);
    if (keyed) {
        carry_out(keyed,
                  Clm_OnHolder(&keyed->claim, holder_number(hub, origin->peer),
                               msg.phase, &msg.answer, now),
                  now);
    }
}

static void
on_fate(void *context, const NetOrigin *origin, Unpack *in, Instant now)
{
    KeyHub *hub = context;
    FateMsg msg;
    Err err = {0};
    Keyed *keyed;

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
Key_HubInit(KeyHub *hub, Net *net, Counters *counters, Timeline *timeline,
            const Addr *holders, size_t holder_count)
{
    *hub = (KeyHub){
        .net = net,
        .counters = counters,
        .logger = timeline->logger,
        .timeline = timeline,
        .holders = holders,
        .holder_count = (uint32_t)holder_count,
    };
    Net_On(net, Wire_CLAIMED, on_claimed, hub);
    Net_On(net, Wire_FATE, on_fate, hub);
}

void
Key_HubFinish(KeyHub *hub)
{
    while (hub->first) {
        free_keyed(hub->first);
    }
    Hsh_Finish(&hub->by_claim);
}

void
Key_HubTick(KeyHub *hub, Instant now)
{
    Keyed *next;

    for (Keyed *keyed = hub->first; keyed; keyed = next) {
        next = keyed->next;
        carry_out(keyed, Clm_Tick(&keyed->claim, now), now);
    }
}

Keyed *
Key_Start(KeyHub *hub, AttemptId claim, Str service, Str key, uint64_t digest,
          Instant deadline, const KeySink *sink, Instant now)
{
    Keyed *keyed = Mem_Alloc(1, sizeof *keyed);

    keyed->hub = hub;
    keyed->claim_id = claim;
    keyed->sink = *sink;
    keyed->next = hub->first;
    if (hub->first) {
        hub->first->previous = keyed;
    }
    hub->first = keyed;
    Hsh_Add(&hub->by_claim, &keyed->link, AttemptId_Hash(claim));
    StrBuf_AppendFmt(&keyed->key, "%.*s\n%.*s", Str_ARG(service),
                     Str_ARG(key));
    Clm_Init(&keyed->claim, hub->holder_count, claim, digest, deadline);
    carry_out(keyed, Clm_PLACE, now);
    return keyed;
}

void
Key_Cancel(Keyed *keyed, Instant now)
{
    if (keyed->claim.state != Clm_GRANTED) {
        release_all(keyed, now);
    }
    free_keyed(keyed);
}

void
Key_OnRefused(Keyed *keyed, bool again, Instant now)
{
    ClmStep step = Clm_OnRefused(&keyed->claim);

    if (!again) {
        step = Clm_OnNobody(&keyed->claim, now);
    }
    carry_out(keyed, step, now);
}

void
Key_OnEnded(Keyed *keyed, const AnswerMsg *answer, Instant now)
{
    Pack pack;

    if (answer) {
        Callmsg_PackAnswer(&pack, answer);
        send_ended(keyed, &keyed->claim.value, Pack_View(&pack), now);
        Pack_Finish(&pack);
    }
    else {
        send_ended(keyed, &keyed->claim.value, (Str){0}, now);
    }
    free_keyed(keyed);
}
