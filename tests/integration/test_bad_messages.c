/* Sends a running node what no node sends: malformed frames, every kind of
 * message with seeded mutations, and valid messages that it did not request.
 * The node counts what it cannot read and still serves calls.
 */
#include <stdio.h>
#include <zmq.h>

#include "fleet.h"
#include "support/samples.h"
#include "support/suite.h"
#include "value/rng.h"

static Str build;

enum { SUBNET = 69, SEED = 20261204, MUTATIONS = 300, LINGER_MS = 500 };

/* A fleet of one node, and a connection to its ZeroMQ address. */
typedef struct {
    Fleet fleet;
    void *zmq;
    void *socket;
} Target;

static void
start_target(Target *target)
{
    Fleet *fleet = &target->fleet;
    StrBuf endpoint = {0};
    int linger = LINGER_MS;

    Fleet_Init(fleet, build, SUBNET, 1, 1);
    Fleet_StartNode(fleet, 0);
    Fleet_Sleep(Span_MS(300));
    Fleet_StartBackend(fleet, 0, Str_LIT("visor"), (Str){0});
    ck_assert(
        Fleet_WaitForPath(fleet, 0, Str_LIT("/visor/ready"), Span_S(10)));
    target->zmq = zmq_ctx_new();
    target->socket = zmq_socket(target->zmq, ZMQ_DEALER);
    zmq_setsockopt(target->socket, ZMQ_LINGER, &linger, sizeof linger);
    StrBuf_AppendFmt(&endpoint, "tcp://%.*s:7400", Str_ARG(fleet->vms[0].ip));
    zmq_connect(target->socket, StrBuf_CStr(&endpoint));
    StrBuf_Finish(&endpoint);
}

static void
finish_target(Target *target)
{
    zmq_close(target->socket);
    zmq_ctx_term(target->zmq);
    Fleet_Finish(&target->fleet);
}

static void
send_frames(Target *target, const Str *frames, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        zmq_send(target->socket, frames[i].ptr, frames[i].len,
                 i + 1 < count ? ZMQ_SNDMORE : 0);
    }
}

/* Sends MESSAGE after a frame with the sender's clock stamp, as nodes do. */
static void
send_message(Target *target, Str message)
{
    const Str frames[] = {Str_LIT("\1\0\0\0\0\0\0\0"), message};

    send_frames(target, frames, 2);
}

static uint64_t
count_malformed(Target *target)
{
    return Fleet_ReadCounter(&target->fleet, 0,
                             Str_LIT("lycheeridge_malformed_total"));
}

static bool
is_serving(Target *target)
{
    return Fleet_WaitForPath(&target->fleet, 0, Str_LIT("/visor/after"),
                             Span_S(10));
}

/* A malformed message. */
typedef struct {
    size_t count; /* of frames */
    Str frames[3];
} FramesCase;

static const FramesCase frame_cases[] = {
    {1, {Str_LIT("")}},
    {1, {Str_LIT("12345678")}},
    {1, {Str_LIT("\x92\x01\x08")}},
    {2, {Str_LIT("1234567"), Str_LIT("\x92\x01\x08")}},
    {2, {Str_LIT("12345678"), Str_LIT("")}},
    {2, {Str_LIT("12345678"), Str_LIT("\xdd\xff\xff\xff\xff")}},
    {2, {Str_LIT("12345678"), Str_LIT("\x92\x02\x08")}},
    {2, {Str_LIT("12345678"), Str_LIT("\x92\x01\x7f")}},
    {2, {Str_LIT("12345678"), Str_LIT("\x93\x01\x01\x01")}},
};

START_TEST(counts_malformed_frames)
{
    Target target;
    uint64_t before;

    start_target(&target);
    before = count_malformed(&target);
    send_frames(&target, frame_cases[_i].frames, frame_cases[_i].count);
    for (int tries = 0; tries < 40 && count_malformed(&target) == before;
         tries++) {
        Fleet_Sleep(Span_MS(50));
    }
    ck_assert_uint_eq(count_malformed(&target), before + 1);
    ck_assert(is_serving(&target));
    finish_target(&target);
}
END_TEST

/* Sends MUTATIONS copies of SAMPLE.  In each, one byte is set at random; every
 * eighth on average may also be cut by up to 3 bytes. */
static void
send_mutated(Target *target, const Sample *sample, Rng *rng)
{
    Pack pack;
    StrBuf bytes = {0};

    sample->pack(&pack);
    for (int round = 0; round < MUTATIONS; round++) {
        StrBuf_Set(&bytes, Pack_View(&pack));
        bytes.ptr[Rng_Below(rng, (uint32_t)bytes.len)] =
            (char)Rng_Below(rng, 256);
        bytes.len -= Rng_Below(rng, 8) ? 0 : Rng_Below(rng, 4);
        send_message(target, StrBuf_View(&bytes));
    }
    StrBuf_Finish(&bytes);
    Pack_Finish(&pack);
}

START_TEST(survives_mutated_messages)
{
    Target target;
    Rng rng;

    start_target(&target);
    Rng_Init(&rng, SEED + (uint64_t)_i);
    send_mutated(&target, Sample_Get(_i), &rng);
    Fleet_Sleep(Span_MS(300));
    ck_assert_msg(count_malformed(&target) > 0, "%s", Sample_Get(_i)->name);
    ck_assert_msg(is_serving(&target), "%s", Sample_Get(_i)->name);
    Rng_Finish(&rng);
    finish_target(&target);
}
END_TEST

/* Sends each kind of message twice, valid but not requested. */
START_TEST(survives_unrequested_messages)
{
    Target target;

    start_target(&target);
    for (int i = 0; i < Sample_Count(); i++) {
        Pack pack;
        Sample_Get(i)->pack(&pack);
        send_message(&target, Pack_View(&pack));
        send_message(&target, Pack_View(&pack));
        Pack_Finish(&pack);
    }
    Fleet_Sleep(Span_MS(300));
    /* A configuration version is accepted only from a control replica that was
     * asked for it, so its two copies count as malformed. */
    ck_assert_uint_eq(count_malformed(&target), 2);
    ck_assert(is_serving(&target));
    finish_target(&target);
}
END_TEST

int
main(int argc, char **argv)
{
    const SuiteTest tests[] = {
        {counts_malformed_frames, sizeof frame_cases / sizeof frame_cases[0]},
        {survives_mutated_messages, Sample_Count()},
        {survives_unrequested_messages, 1},
    };

    build = Suite_GetBuildFolder(argc, argv);
    return Suite_Run("bad messages", tests, 3, 60);
}
