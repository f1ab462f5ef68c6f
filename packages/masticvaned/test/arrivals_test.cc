/* Waiting times of datagrams, and those that expire before they are sent: a
 * wrong one would let a SYN that its caller has repeated since pass as fresh.
 */
#include <gtest/gtest.h>

extern "C" {
#include "arrivals.h"
#include "datagrams.h"
}

namespace {

const mv_time_t kNoon = 1700000000 * MV_SECOND;
const mv_time_t kMs = MV_MILLISECOND;

} // namespace

TEST(Arrivals, ADatagramNeverSeemsYoungerThanItIs)
{
    struct {
        const char *what;
        mv_time_t span;     /* since the socket was empty */
        mv_time_t clock_by; /* how far the time of day was set meanwhile */
        mv_time_t stamp;    /* time of day after the socket was empty, or 0 */
        mv_time_t waited;
    } const cases[] = {
        {"arrived before the standstill", 4 * MV_SECOND, 0, 100 * kMs,
         3900 * kMs},
        {"arrived just before the read", 4 * MV_SECOND, 0, 3990 * kMs,
         10 * kMs},
        {"arrived during the read", 50 * kMs, 0, 51 * kMs, 0},
        {"no stamp", 4 * MV_SECOND, 0, 0, 4 * MV_SECOND},
        {"clock set back", 4 * MV_SECOND, -3 * MV_SECOND, 500 * kMs,
         4 * MV_SECOND},
        {"clock set forward", 4 * MV_SECOND, 3 * MV_SECOND, 6900 * kMs,
         4 * MV_SECOND},
        {"stamp from before the socket was empty", 100 * kMs, 0,
         -2 * MV_SECOND, 100 * kMs},
    };
    for (const auto &c : cases) {
        const mv_arrivals_t arrivals = {
            {MV_SECOND, kNoon},
            {},
            {MV_SECOND + c.span, kNoon + c.span + c.clock_by}};
        EXPECT_EQ(MvArrivals_Waited(&arrivals, c.stamp ? kNoon + c.stamp : 0),
                  c.waited)
            << c.what;
    }
}

/* The time before the read counts: a datagram may arrive during it. */
TEST(Arrivals, TheSocketWasEmptyWhenTheReadBegan)
{
    mv_arrivals_t arrivals = {};
    MvArrivals_Open(&arrivals);
    MvArrivals_BeginRead(&arrivals);
    MvArrivals_EndRead(&arrivals);
    MvArrivals_NoteEmpty(&arrivals);
    EXPECT_EQ(arrivals.empty.boot, arrivals.read_began.boot);
    EXPECT_LE(arrivals.read_began.boot, arrivals.read_ended.boot);
}

/* Guards against a stop while a batch is in hand. */
TEST(Arrivals, ExpiredDatagramsAreNotSent)
{
    const mv_time_t now = MV_SECOND;
    const mv_time_t expires_at[] = {now - 1, MV_NEVER, now, now - 1, now + 1};
    uint8_t data[5] = {10, 11, 12, 13, 14};
    mv_datagram_batch_t batch = {};
    for (int i = 0; i < 5; i++) {
        struct sockaddr_in to = {};
        to.sin_port = (in_port_t)i;
        EXPECT_TRUE(
            MvDatagramBatch_Add(&batch, &to, expires_at[i], &data[i], 1));
    }
    EXPECT_EQ(MvDatagramBatch_DropExpired(&batch, now), 2u);
    ASSERT_EQ(batch.count, 3u);
    const int kept[] = {1, 2, 4};
    for (int i = 0; i < 3; i++) {
        const struct msghdr &message = batch.messages[i].msg_hdr;
        const auto *to = static_cast<sockaddr_in *>(message.msg_name);
        EXPECT_EQ(to->sin_port, kept[i]);
        EXPECT_EQ(message.msg_iov->iov_base, &data[kept[i]]);
    }
}
