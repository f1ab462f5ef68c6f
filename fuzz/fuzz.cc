/*
 * Fuzz target for all parsers of untrusted bytes.  The first byte of an input
 * selects the parser, the others are parsed.
 *
 * Built with -DMV_FUZZ=ON by clang.  scripts/fuzz.sh runs it with fixed seeds
 * on inputs that it makes from the examples.
 */
#include "masticvane/config.h"
#include "masticvane/net.h"

#include <cstdint>
#include <cstring>
#include <string>

#include "masticvane/replica.h"

extern "C" {
#include "packet.h"
#include "platform.h"
}

namespace {

const int64_t kNow = 1800000000;

void
parse_packet(const uint8_t *data, size_t size)
{
    mv_packet_t parsed;
    mv_counter_id_t reason;
    MvPacket_Parse(data, size, &parsed, &reason);
}

void
decode_message(const uint8_t *data, size_t size)
{
    mv_message_t *decoded = MvMessage_Decode(data, size);
    if (decoded) {
        mv_buffer_t reencoded = {};
        MvMessage_Encode(decoded, &reencoded);
        MvBuffer_Clear(&reencoded);
    }
    MvMessage_Free(decoded);
}

mv_keyring_t *
make_keyring(mv_findings_t *findings)
{
    std::string text = "1 " + std::string(64, '0') + "\n";
    return MvKeyring_Parse("keys", text.c_str(), "d", findings);
}

/* Most inputs fail at the MAC; this tests the checks before it. */
void
verify_frame(const uint8_t *data, size_t size)
{
    mv_findings_t *findings = MvFindings_Create();
    mv_keyring_t *keyring = make_keyring(findings);
    mv_frame_codec_t *codec = MvFrameCodec_Create(keyring, 1, 0, 1);
    mv_frame_t opened;
    uint8_t hops = 0;
    MvFrameCodec_Decode(codec, data, size, &opened);
    MvRelayHeader_Verify(keyring, data, size, &hops);
    MvFrameCodec_Destroy(codec);
    MvKeyring_Destroy(keyring);
    MvFindings_Destroy(findings);
}

void
parse_answers(const uint8_t *data, size_t size)
{
    std::string text(reinterpret_cast<const char *>(data), size);
    mv_findings_t *findings = MvFindings_Create();
    mv_deployment_t *parsed =
        MvAnswers_Parse("answers", text.c_str(), kNow, findings);
    if (parsed) {
        MvDeployment_Generate(parsed, nullptr, kNow, "change");
    }
    MvDeployment_Unref(parsed);
    MvFindings_Destroy(findings);
}

/* A bundle from the store or a peer, decoded alone and then with the
 * result as base; the same bytes are then parsed as a root document. */
void
decode_configuration(const uint8_t *data, size_t size)
{
    const char *bytes = reinterpret_cast<const char *>(data);
    mv_deployment_t *base = MvDeployment_Decode(bytes, size, nullptr, nullptr);
    mv_deployment_t *on_base = MvDeployment_Decode(bytes, size, base, nullptr);
    MvDeployment_Unref(on_base);
    MvDeployment_Unref(base);
    std::string text(bytes, size);
    GPtrArray *pairs = MvDeployment_RootServices(text.c_str(), nullptr);
    if (pairs) {
        g_ptr_array_unref(pairs);
    }
}

/* A packet of the platform's network fabric; one that is accepted is also
 * rewritten for forwarding and answered with a reset. */
void
parse_flow_packet(const uint8_t *data, size_t size)
{
    const mv_fabric_ops_t *fabric = MvPlatform_Fabric();
    mv_flow_packet_t parsed;
    if (!fabric->parse(data, size, &parsed)) {
        return;
    }
    std::string frame(MV_FABRIC_HEADROOM, '\0');
    frame.append(reinterpret_cast<const char *>(data), size);
    const mv_flow_verdict_t verdict = {
        MV_FLOW_FORWARD, MV_COUNTER_PACKETS_FORWARDED, 1, 2, 3, 4, MV_NEVER};
    fabric->encapsulate(&verdict, (uint8_t *)&frame[MV_FABRIC_HEADROOM]);
    uint8_t reset[MV_RESET_MAX];
    fabric->reset(&parsed, reset);
}

/* Values that other programs write under the platform's keys. */
void
decode_store_value(const uint8_t *data, size_t size)
{
    const char *text = reinterpret_cast<const char *>(data);
    for (const char *key : {"servers/i-1", "op/config"}) {
        GError *error = nullptr;
        mv_store_entry_t entry = MvPlatform_Decode(key, text, size, &error);
        g_clear_error(&error);
        MvRouting_Destroy(entry.routing);
    }
}

/* A delta from a peer. */
void
apply_delta(const uint8_t *data, size_t size)
{
    mv_replica_t *replica =
        MvReplica_Create([](void *, const mv_store_item_t *) {}, nullptr);
    MvReplica_Merge(replica, 0, reinterpret_cast<const char *>(data), size);
    mv_buffer_t reencoded = {};
    MvReplica_EncodeSince(replica, 0, &reencoded);
    MvBuffer_Clear(&reencoded);
    MvReplica_Destroy(replica);
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static void (*const parsers[])(const uint8_t *, size_t) = {
        parse_packet,       decode_message,       verify_frame,
        parse_answers,      decode_configuration, parse_flow_packet,
        decode_store_value, apply_delta};
    if (size > 0) {
        size_t index = data[0] % (sizeof(parsers) / sizeof(parsers[0]));
        parsers[index](data + 1, size - 1);
    }
    return 0;
}
