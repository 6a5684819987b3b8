#include "support/samples.h"

#include "connection/callmsg.h"
#include "connection/membermsg.h"

static const LoadReport load_report = {9, 3, 1, 5000, 7, false, 0, false};
static const AttemptId attempt = {UINT64_C(1796381848187260), 42};

/* The sum is read in this file because the address sanitizer does not check
 * reads inside libraries that were built without it. */
static uint64_t byte_sum;

void
Sample_Touch(Str text)
{
    for (size_t i = 0; i < text.len; i++) {
        byte_sum += (unsigned char)text.ptr[i];
    }
}

static void
touch_fields(const FieldList *fields)
{
    for (size_t i = 0; i < fields->count; i++) {
        Sample_Touch(fields->items[i].name);
        Sample_Touch(fields->items[i].value);
    }
}

static void
add_fields(FieldList *fields)
{
    fields->count = 0;
    Field_Add(fields, Str_LIT("Content-Type"), Str_LIT("text/plain"));
    Field_Add(fields, Str_LIT("Idempotency-Key"), Str_LIT("lot-4"));
}

static void
pack_call(Pack *pack)
{
    CallMessage msg = {
        .id = attempt,
        .target_incarnation = 5,
        .interactive = true,
        .time_left = Span_MS(1500),
        .account = {.hash = 12, .weight = 34},
        .fingerprint = 99,
        .barred = 2,
        .request_id = Str_LIT("r-1"),
        .method = Str_LIT("POST"),
        .target = Str_LIT("/despachos/orders"),
        .body = Str_LIT("lot=4"),
    };

    add_fields(&msg.fields);
    Callmsg_PackCall(pack, &msg);
}

static bool
read_call(Unpack *in, Err *err)
{
    CallMessage msg;
    bool good = Callmsg_ReadCall(in, &msg, err);

    if (good) {
        Sample_Touch(msg.request_id);
        Sample_Touch(msg.method);
        Sample_Touch(msg.target);
        Sample_Touch(msg.body);
        touch_fields(&msg.fields);
    }
    return good;
}

static void
pack_piece(Pack *pack)
{
    PieceMessage msg = {
        .id = attempt,
        .is_last = true,
        .status = 200,
        .data = Str_LIT("41 tons"),
        .load = load_report,
    };

    add_fields(&msg.fields);
    Callmsg_PackPiece(pack, &msg);
}

static bool
read_piece(Unpack *in, Err *err)
{
    PieceMessage msg;
    bool good = Callmsg_ReadPiece(in, &msg, err);

    if (good) {
        Sample_Touch(msg.data);
        touch_fields(&msg.fields);
    }
    return good;
}

static void
pack_rejected(Pack *pack)
{
    CallRejectedMessage msg = {attempt, Reject_FULL, load_report, false};

    Callmsg_PackRejected(pack, &msg);
}

static void
pack_rejected_without_load(Pack *pack)
{
    CallRejectedMessage msg = {attempt, Reject_FULL, load_report, true};

    Callmsg_PackRejected(pack, &msg);
}

static bool
read_rejected(Unpack *in, Err *err)
{
    CallRejectedMessage msg;

    return Callmsg_ReadRejected(in, &msg, err);
}

static void
pack_id(Pack *pack)
{
    Callmsg_PackId(pack, Wire_CANCEL, attempt);
}

static bool
read_id(Unpack *in, Err *err)
{
    AttemptId id;

    return Callmsg_ReadId(in, &id, err);
}

static void
pack_fence(Pack *pack)
{
    FenceMessage msg = {
        .id = attempt, .target_incarnation = 5, .keep_long = true};

    Callmsg_PackFence(pack, &msg);
}

static void
pack_fence_of_begun(Pack *pack)
{
    FenceMessage msg = {.id = attempt,
                        .target_incarnation = 5,
                        .next_piece = 45,
                        .uncredited_bytes = 262144};

    Callmsg_PackFence(pack, &msg);
}

static bool
read_fence(Unpack *in, Err *err)
{
    FenceMessage msg;

    return Callmsg_ReadFence(in, &msg, err);
}

static void
pack_fence_reply(Pack *pack)
{
    FenceReplyMessage msg = {attempt, Fence_RUNNING, load_report};

    Callmsg_PackFenceReply(pack, &msg);
}

static bool
read_fence_reply(Unpack *in, Err *err)
{
    FenceReplyMessage msg;

    return Callmsg_ReadFenceReply(in, &msg, err);
}

static void
pack_credit(Pack *pack)
{
    CreditMessage msg = {attempt, 4096};

    Callmsg_PackCredit(pack, &msg);
}

static bool
read_credit(Unpack *in, Err *err)
{
    CreditMessage msg;

    return Callmsg_ReadCredit(in, &msg, err);
}

static void
pack_offer(Pack *pack)
{
    OfferMessage msg = {attempt, 67108864};

    Callmsg_PackOffer(pack, &msg);
}

static bool
read_offer(Unpack *in, Err *err)
{
    OfferMessage msg;

    return Callmsg_ReadOffer(in, &msg, err);
}

static void
pack_grant(Pack *pack)
{
    Callmsg_PackId(pack, Wire_GRANT, attempt);
}

static void
pack_pong(Pack *pack)
{
    Callmsg_PackPong(pack, &load_report);
}

static bool
read_pong(Unpack *in, Err *err)
{
    LoadReport report;

    return Callmsg_ReadPong(in, &report, err);
}

static void
fill_record(MemberRecord *record, uint64_t node)
{
    Mbr_RecordInit(record);
    record->node = node;
    record->operator_addr = node + 1;
    record->incarnation = 77;
    record->sequence = 3;
    record->domain = 2;
    record->has_backend = true;
    StrBuf_Set(&record->service, Str_LIT("balanza"));
    record->load = load_report;
}

static void
pack_record(Pack *pack)
{
    MemberRecord record;

    fill_record(&record, 11);
    Membermsg_PackRecord(pack, &record, 5, 6);
    Mbr_RecordFinish(&record);
}

static bool
read_record(Unpack *in, Err *err)
{
    MemberRecord record;
    uint64_t table;
    uint64_t seen;
    bool good;

    Mbr_RecordInit(&record);
    good = Membermsg_ReadRecord(in, &record, &table, &seen, err);
    Sample_Touch(StrBuf_View(&record.service));
    Mbr_RecordFinish(&record);
    return good;
}

static void
init_table(MembershipTable *mbr)
{
    const MembershipSettings settings = {.expiry = Span_S(1)};

    Mbr_Init(mbr, &settings);
}

static void
pack_table(Pack *pack)
{
    MembershipTable mbr;

    init_table(&mbr);
    for (uint64_t node = 1; node <= 3; node++) {
        MemberRecord record;
        fill_record(&record, node << 16);
        Mbr_OnRecord(&mbr, &record, Span_S(9));
        Mbr_RecordFinish(&record);
    }
    Membermsg_PackTable(pack, Wire_MEMBER_TABLE, &mbr, 5, 0, Addr_NONE, true);
    Mbr_Finish(&mbr);
}

static bool
read_table(Unpack *in, Err *err)
{
    MembershipTable mbr;
    MemberTableTarget target = {&mbr, -1};
    MemberTableHeader header;
    bool good;

    init_table(&mbr);
    good = Membermsg_ReadTable(in, &target, &header, Span_S(9), err);
    Mbr_Finish(&mbr);
    return good;
}

static void
pack_renewal(Pack *pack)
{
    const MemberRenewal renewal = {11, 77, 3, 4};

    Membermsg_PackRenewal(pack, &renewal, 5, 6);
}

static bool
read_renewal(Unpack *in, Err *err)
{
    MemberRenewal renewal;
    uint64_t table;
    uint64_t seen;

    return Membermsg_ReadRenewal(in, &renewal, &table, &seen, err);
}

const Sample call_samples[] = {
    {"call", pack_call, read_call},
    {"answer piece", pack_piece, read_piece},
    {"rejected", pack_rejected, read_rejected},
    {"rejected without a load report", pack_rejected_without_load,
     read_rejected},
    {"cancel", pack_id, read_id},
    {"fence", pack_fence, read_fence},
    {"fence of an answer that has begun", pack_fence_of_begun, read_fence},
    {"fence reply", pack_fence_reply, read_fence_reply},
    {"credit", pack_credit, read_credit},
    {"offer", pack_offer, read_offer},
    {"grant", pack_grant, read_id},
    {"pong", pack_pong, read_pong},
    {"member record", pack_record, read_record},
    {"member table", pack_table, read_table},
    {"member renewal", pack_renewal, read_renewal},
};

const int call_sample_count = sizeof call_samples / sizeof call_samples[0];

int
Sample_Count(void)
{
    return call_sample_count + control_sample_count;
}

const Sample *
Sample_Get(int index)
{
    return index < call_sample_count
               ? &call_samples[index]
               : &control_samples[index - call_sample_count];
}

bool
Sample_Read(const Sample *sample, Str bytes, Err *err)
{
    Unpack in;
    MessageKind kind;
    bool good;

    if (!Wire_Open(&in, bytes, &kind, err)) {
        return false;
    }
    good = sample->read(&in, err);
    Unpack_Finish(&in);
    return good;
}
