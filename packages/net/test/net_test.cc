#include "masticvane/net.h"

#include <gtest/gtest.h>

#include <random>

namespace {

const char *const kKey = "1 "
                         "000102030405060708090a0b0c0d0e0f"
                         "101112131415161718191a1b1c1d1e1f\n";
const char *const kTwoKeys = "2 "
                             "ff0102030405060708090a0b0c0d0e0f"
                             "101112131415161718191a1b1c1d1e1f\n"
                             "1 "
                             "000102030405060708090a0b0c0d0e0f"
                             "101112131415161718191a1b1c1d1e1f\n";

mv_keyring_t *
keyring(const char *text, const char *deployment = "d")
{
    mv_findings_t *findings = MvFindings_Create();
    mv_keyring_t *ring = MvKeyring_Parse("keys", text, deployment, findings);
    MvFindings_Destroy(findings);
    return ring;
}

struct channel {
    mv_keyring_t *ring;
    mv_sealer_t *sealer;
    channel(const char *keys, mv_node_id_t id, const char *deployment = "d")
        : ring(keyring(keys, deployment)),
          sealer(MvSealer_Create(ring, id, 0, 1000))
    {
    }
    ~channel()
    {
        MvSealer_Destroy(sealer);
        MvKeyring_Destroy(ring);
    }
};

std::vector<uint8_t>
seal(channel &from, const std::string &body)
{
    mv_buffer_t out = {};
    MvSealer_Seal(from.sealer, MV_FRAME_COMMAND, body.data(), body.size(),
                  &out);
    std::vector<uint8_t> bytes(out.data, out.data + out.length);
    MvBuffer_Clear(&out);
    return bytes;
}

} // namespace

struct frame_case {
    const char *name;
    const char *sender_keys;
    const char *deployment;
    std::function<void(std::vector<uint8_t> &)> change;
    mv_frame_check_t expected;
};

TEST(Frame, OnlyWholeSignedFramesOfThisDeploymentAreTaken)
{
    using bytes_t = std::vector<uint8_t>;
    const frame_case cases[] = {
        {"good", kKey, "d", [](bytes_t &) {}, MV_FRAME_GOOD},
        {"new key during a roll", kTwoKeys, "d", [](bytes_t &) {},
         MV_FRAME_GOOD},
        {"other deployment", kKey, "e", [](bytes_t &) {}, MV_FRAME_BAD},
        {"flipped bit", kKey, "d", [](bytes_t &b) { b[25] ^= 1; },
         MV_FRAME_BAD},
        {"version", kKey, "d", [](bytes_t &b) { b[4] = 9; }, MV_FRAME_BAD},
        {"unknown key", kKey, "d", [](bytes_t &b) { b[6] = 7; }, MV_FRAME_BAD},
        {"too long", kKey, "d", [](bytes_t &b) { b[0] = 0x7f; }, MV_FRAME_BAD},
        {"truncated", kKey, "d", [](bytes_t &b) { b.resize(b.size() - 1); },
         MV_FRAME_INCOMPLETE},
    };
    for (const auto &c : cases) {
        channel from(c.sender_keys, 1, c.deployment);
        channel to(kTwoKeys, 2);
        auto bytes = seal(from, "hello");
        c.change(bytes);
        mv_frame_t frame;
        EXPECT_EQ(MvSealer_Open(to.sealer, bytes.data(), bytes.size(), &frame),
                  c.expected)
            << c.name;
    }
}

TEST(Frame, ReplayIsRefusedReorderingIsNot)
{
    channel from(kKey, 1);
    channel to(kKey, 2);
    auto first = seal(from, "one");
    auto second = seal(from, "two");
    mv_frame_t f;
    auto open = [&](std::vector<uint8_t> &b) {
        return MvSealer_Open(to.sealer, b.data(), b.size(), &f);
    };
    EXPECT_EQ(open(second), MV_FRAME_GOOD);
    EXPECT_EQ(open(first), MV_FRAME_GOOD);
    EXPECT_EQ(open(first), MV_FRAME_BAD);
    EXPECT_EQ(open(second), MV_FRAME_BAD);
}

TEST(Codec, MessagesSurviveAndDamageIsRefused)
{
    mv_member_update_t member = {};
    member.node = 7;
    member.state = MV_MEMBER_SUSPECT;
    mv_bucket_update_t bucket = {99, 5, 1, 2, MV_BUCKET_MIXED};
    mv_flow_record_t flow = {0x0a000001, 4242, 1, 2, 300};
    mv_load_record_t load = {1, 2, -5, 3, 4};
    char blob[] = "config";
    mv_message_t message = {};
    message.kind = MV_MESSAGE_BUCKETS;
    message.from = 3;
    message.version = 99;
    message.member_count = 1;
    message.members = &member;
    message.bucket_count = 1;
    message.buckets = &bucket;
    message.flow_count = 1;
    message.flows = &flow;
    message.load_count = 1;
    message.loads = &load;
    message.blob = blob;
    message.blob_length = 6;
    mv_buffer_t out = {};
    ASSERT_TRUE(MvMessage_Encode(&message, &out));
    mv_message_t *copy = MvMessage_Decode(out.data, out.length);
    ASSERT_NE(copy, nullptr);
    EXPECT_EQ(copy->members[0].state, (uint32_t)MV_MEMBER_SUSPECT);
    EXPECT_EQ(copy->buckets[0].version, 99u);
    EXPECT_EQ(copy->flows[0].address, 0x0a000001u);
    EXPECT_EQ(copy->loads[0].open, -5);
    EXPECT_STREQ(copy->blob, "config");
    MvMessage_Free(copy);
    for (size_t cut = 0; cut < out.length; cut++) {
        EXPECT_EQ(MvMessage_Decode(out.data, cut), nullptr);
    }
    std::mt19937 random(1);
    for (int i = 0; i < 20000; i++) {
        std::vector<uint8_t> bytes(out.data, out.data + out.length);
        bytes[random() % bytes.size()] = (uint8_t)random();
        MvMessage_Free(MvMessage_Decode(bytes.data(), bytes.size()));
    }
    MvBuffer_Clear(&out);
}

TEST(Relay, OnlySignedPacketsOfThisDeploymentAreTaken)
{
    mv_keyring_t *ours = keyring(kKey);
    mv_keyring_t *theirs = keyring(kKey, "other");
    uint8_t bytes[MV_RELAY_HEADER_BYTES + 60] = {0};
    uint8_t hops = 0;
    MvRelay_Write(ours, 1, 1, bytes + MV_RELAY_HEADER_BYTES, 60, bytes);
    EXPECT_TRUE(MvRelay_Read(ours, bytes, sizeof(bytes), &hops));
    EXPECT_EQ(hops, 1);
    EXPECT_FALSE(MvRelay_Read(theirs, bytes, sizeof(bytes), &hops));
    bytes[MV_RELAY_HEADER_BYTES + 13] ^= 1;
    EXPECT_FALSE(MvRelay_Read(ours, bytes, sizeof(bytes), &hops));
    EXPECT_FALSE(MvRelay_Read(ours, bytes, 10, &hops));
    MvKeyring_Destroy(ours);
    MvKeyring_Destroy(theirs);
}
