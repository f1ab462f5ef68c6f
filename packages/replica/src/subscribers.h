/**
 * DOC: The nodes that receive heartbeats and changes from this one.
 *
 * A subscription ends when it is not renewed.  There are never more than a
 * fixed number of subscribers: when another one comes, the one that ranks last
 * gives way, so that nodes end up near their place in the relay tree.
 */
#ifndef MV_SUBSCRIBERS_H
#define MV_SUBSCRIBERS_H

#include "relay_tree.h"

/**
 * struct mv_subscriber - One subscription.
 * @link: in mv_subscribers.list
 * @id: the subscriber
 * @rank: its rank
 * @request: time that its last request carried, see MvSource_EncodeTime()
 * @until: end of the subscription unless it is renewed
 */
typedef struct mv_subscriber {
    mv_list_t link;
    mv_node_id_t id;
    uint64_t rank;
    uint32_t request;
    mv_time_t until;
} mv_subscriber_t;

/**
 * struct mv_subscribers - All subscriptions of a node.
 * @list: &struct mv_subscriber; may hold ended ones until the next call
 * @max_count: maximum number of entries
 * @duration: time after which a subscription that is not renewed ends
 */
typedef struct mv_subscribers {
    mv_list_t list;
    unsigned max_count;
    mv_time_t duration;
} mv_subscribers_t;

/** MvSubscribers_Init() - Start without subscribers. */
void MvSubscribers_Init(mv_subscribers_t *subscribers, unsigned max_count,
                        mv_time_t duration);

/** MvSubscribers_Clear() - End and free all subscriptions. */
void MvSubscribers_Clear(mv_subscribers_t *subscribers);

/** MvSubscribers_RemoveEnded() - Free the subscriptions that have ended. */
void MvSubscribers_RemoveEnded(mv_subscribers_t *subscribers, mv_time_t now);

/**
 * MvSubscribers_Renew() - Begin or renew the subscription of node @id.
 * @request: time that the request carries
 * @dismissed: receives the node that gave way to @id, or MV_NO_NODE
 *
 * Return: false when there is no room for @id, as all others rank before it.
 */
bool MvSubscribers_Renew(mv_subscribers_t *subscribers, mv_time_t now,
                         mv_node_id_t id, uint32_t request,
                         mv_node_id_t *dismissed);

#endif
