/* The nodes that receive heartbeats and changes from this one. */
#include "subscribers.h"

void
MvSubscribers_Init(mv_subscribers_t *subscribers, unsigned max_count,
                   mv_time_t duration)
{
    MvList_Init(&subscribers->list);
    subscribers->max_count = max_count;
    subscribers->duration = duration;
}

static void
free_subscriber(mv_subscriber_t *subscriber)
{
    MvList_Remove(&subscriber->link);
    g_free(subscriber);
}

void
MvSubscribers_Clear(mv_subscribers_t *subscribers)
{
    MV_LIST_FOREACH(item, &subscribers->list)
    {
        free_subscriber(MV_CONTAINER_OF(item, mv_subscriber_t, link));
    }
}

void
MvSubscribers_RemoveEnded(mv_subscribers_t *subscribers, mv_time_t now)
{
    MV_LIST_FOREACH(item, &subscribers->list)
    {
        mv_subscriber_t *subscriber =
            MV_CONTAINER_OF(item, mv_subscriber_t, link);
        if (now >= subscriber->until) {
            free_subscriber(subscriber);
        }
    }
}

static mv_subscriber_t *
find(const mv_subscribers_t *subscribers, mv_node_id_t id)
{
    MV_LIST_FOREACH(item, &subscribers->list)
    {
        mv_subscriber_t *subscriber =
            MV_CONTAINER_OF(item, mv_subscriber_t, link);
        if (subscriber->id == id) {
            return subscriber;
        }
    }
    return NULL;
}

/* @last: receives the subscriber that ranks last, NULL without subscribers */
static unsigned
count(const mv_subscribers_t *subscribers, mv_subscriber_t **last)
{
    unsigned result = 0;
    *last = NULL;
    MV_LIST_FOREACH(item, &subscribers->list)
    {
        mv_subscriber_t *subscriber =
            MV_CONTAINER_OF(item, mv_subscriber_t, link);
        if (!*last || subscriber->rank > (*last)->rank) {
            *last = subscriber;
        }
        result++;
    }
    return result;
}

static bool
make_room(mv_subscribers_t *subscribers, uint64_t rank,
          mv_node_id_t *dismissed)
{
    mv_subscriber_t *last = NULL;
    if (count(subscribers, &last) < subscribers->max_count) {
        return true;
    }
    if (!last || last->rank < rank) {
        return false;
    }
    *dismissed = last->id;
    free_subscriber(last);
    return true;
}

bool
MvSubscribers_Renew(mv_subscribers_t *subscribers, mv_time_t now,
                    mv_node_id_t id, uint32_t request, mv_node_id_t *dismissed)
{
    *dismissed = MV_NO_NODE;
    MvSubscribers_RemoveEnded(subscribers, now);
    mv_subscriber_t *subscriber = find(subscribers, id);
    uint64_t rank = MvRelayTree_Rank(id);
    if (!subscriber) {
        if (!make_room(subscribers, rank, dismissed)) {
            return false;
        }
        subscriber = g_new0(mv_subscriber_t, 1);
        subscriber->id = id;
        subscriber->rank = rank;
        MvList_Append(&subscribers->list, &subscriber->link);
    }
    subscriber->request = request;
    subscriber->until = now + subscribers->duration;
    return true;
}
