#include "view.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

/* The primary of a service's first bucket is its deciding node.  An odd stride
 * has no common factor with MV_GROUPS, so the first buckets of MV_GROUPS
 * services with consecutive ids are in different groups. */
#define GROUP_STRIDE 37
#define MIN_INDEX_SLOTS 16

uint32_t
MvGroup_Of(uint16_t service, uint32_t bucket)
{
    return (bucket + (uint32_t)service * GROUP_STRIDE) % MV_GROUPS;
}

static uint64_t
rendezvous_score(uint32_t group, mv_node_id_t node)
{
    uint32_t key[2] = {group, node};
    return XXH3_64bits(key, sizeof(key));
}

/**
 * struct choice - Holders of a group chosen so far.
 * @nodes: chosen nodes
 * @count: entries in @nodes
 * @data_centre_count: number of data centres of @nodes
 */
typedef struct choice {
    const mv_request_member_t *nodes[MV_MAX_HOLDERS];
    size_t count;
    uint8_t data_centre_count;
} choice_t;

static bool
is_chosen(const choice_t *choice, const mv_request_member_t *node)
{
    for (size_t i = 0; i < choice->count; i++) {
        if (choice->nodes[i] == node) {
            return true;
        }
    }
    return false;
}

static bool
is_covered(const choice_t *choice, uint32_t data_centre)
{
    for (size_t i = 0; i < choice->count; i++) {
        if (choice->nodes[i]->data_centre == data_centre) {
            return true;
        }
    }
    return false;
}

/* Node with the highest score that is not chosen yet, or NULL; with
 * @new_data_centre only nodes of data centres that have no holder are
 * considered. */
static const mv_request_member_t *
best_node(uint32_t group, const mv_request_member_t *nodes, size_t count,
          const choice_t *choice, bool new_data_centre)
{
    const mv_request_member_t *best = NULL;
    uint64_t best_score = 0;
    for (size_t i = 0; i < count; i++) {
        if (is_chosen(choice, &nodes[i]) ||
            (new_data_centre && is_covered(choice, nodes[i].data_centre))) {
            continue;
        }
        uint64_t score = rendezvous_score(group, (mv_node_id_t)nodes[i].id);
        if (!best || score > best_score) {
            best = &nodes[i];
            best_score = score;
        }
    }
    return best;
}

static bool
choose(choice_t *choice, const mv_request_member_t *node)
{
    if (node) {
        choice->data_centre_count += !is_covered(choice, node->data_centre);
        choice->nodes[choice->count++] = node;
    }
    return node != NULL;
}

static mv_node_id_t
chosen_id(const choice_t *choice, size_t position)
{
    return position < choice->count ? (mv_node_id_t)choice->nodes[position]->id
                                    : MV_NO_NODE;
}

static void
choose_holders(mv_holders_t *holders, uint32_t group,
               const mv_request_member_t *nodes, size_t count)
{
    choice_t choice = {.count = 0};
    choose(&choice, best_node(group, nodes, count, &choice, false));
    if (!choose(&choice, best_node(group, nodes, count, &choice, true))) {
        choose(&choice, best_node(group, nodes, count, &choice, false));
    }
    while (choice.count < MV_MAX_HOLDERS &&
           choose(&choice, best_node(group, nodes, count, &choice, true))) {
    }
    holders->primary[group] = chosen_id(&choice, 0);
    holders->backup[group] = chosen_id(&choice, 1);
    for (size_t i = 0; i < MV_REMOTE_HOLDERS; i++) {
        holders->remote[group][i] = chosen_id(&choice, 2 + i);
    }
    holders->data_centre_count[group] = choice.data_centre_count;
}

void
MvHolders_List(const mv_holders_t *holders, uint32_t group,
               mv_node_id_t out[MV_MAX_HOLDERS])
{
    out[0] = holders->primary[group];
    out[1] = holders->backup[group];
    for (size_t i = 0; i < MV_REMOTE_HOLDERS; i++) {
        out[2 + i] = holders->remote[group][i];
    }
}

bool
MvHolders_Contains(const mv_holders_t *holders, uint32_t group,
                   mv_node_id_t id)
{
    mv_node_id_t group_holders[MV_MAX_HOLDERS];
    MvHolders_List(holders, group, group_holders);
    for (size_t i = 0; i < MV_MAX_HOLDERS; i++) {
        if (group_holders[i] == id) {
            return true;
        }
    }
    return false;
}

void
MvHolders_Compute(mv_holders_t *holders, const mv_request_member_t *nodes,
                  size_t count)
{
    for (uint32_t group = 0; group < MV_GROUPS; group++) {
        choose_holders(holders, group, nodes, count);
    }
}

/* Number of data centres of @nodes, at most MV_MAX_HOLDERS. */
static uint8_t
count_data_centres(const mv_request_member_t *nodes, size_t count)
{
    choice_t distinct = {.count = 0};
    for (size_t i = 0; i < count && distinct.count < MV_MAX_HOLDERS; i++) {
        if (!is_covered(&distinct, nodes[i].data_centre)) {
            choose(&distinct, &nodes[i]);
        }
    }
    return distinct.data_centre_count;
}

/* True when @changed can be, or can have been, a holder of the group. */
static bool
may_affect_group(const mv_holders_t *holders, uint32_t group,
                 uint8_t data_centres, mv_node_id_t changed)
{
    mv_node_id_t group_holders[MV_MAX_HOLDERS];
    MvHolders_List(holders, group, group_holders);
    if (group_holders[0] == MV_NO_NODE || group_holders[1] == MV_NO_NODE ||
        holders->data_centre_count[group] < data_centres) {
        return true;
    }
    uint64_t score = rendezvous_score(group, changed);
    for (size_t i = 0; i < MV_MAX_HOLDERS; i++) {
        if (group_holders[i] == changed ||
            (group_holders[i] != MV_NO_NODE &&
             score >= rendezvous_score(group, group_holders[i]))) {
            return true;
        }
    }
    return false;
}

void
MvHolders_Update(mv_holders_t *holders, const mv_request_member_t *nodes,
                 size_t count, mv_node_id_t changed)
{
    uint8_t data_centres = count_data_centres(nodes, count);
    for (uint32_t group = 0; group < MV_GROUPS; group++) {
        if (may_affect_group(holders, group, data_centres, changed)) {
            choose_holders(holders, group, nodes, count);
        }
    }
}

mv_view_service_t *
MvViewService_Create(mv_deployment_t *deployment, const mv_service_t *service,
                     int32_t *load_counts)
{
    mv_view_service_t *view = g_malloc0(
        sizeof(*view) + service->bucket_count * sizeof(view->buckets[0]));
    view->references = 1;
    view->deployment = MvDeployment_Ref(deployment);
    view->config = service;
    view->load_counts = g_atomic_rc_box_acquire(load_counts);
    view->mask = service->bucket_count - 1u;
    return view;
}

void
MvViewService_Unref(mv_view_service_t *service)
{
    if (!service || --service->references > 0) {
        return;
    }
    MvDeployment_Unref(service->deployment);
    g_atomic_rc_box_release(service->load_counts);
    g_free(service);
}

static uint32_t
address_hash(uint32_t address, uint16_t port)
{
    uint32_t key[2] = {address, port};
    return (uint32_t)XXH3_64bits(key, sizeof(key));
}

mv_view_t *
MvView_Create(mv_view_service_t **services, uint32_t count)
{
    mv_view_t *view = g_new0(mv_view_t, 1);
    MvList_Init(&view->retired_link);
    uint32_t slot_count = MIN_INDEX_SLOTS;
    while (slot_count < 2 * count) {
        slot_count *= 2;
    }
    view->index_mask = slot_count - 1;
    view->index = g_new(int32_t, slot_count);
    for (uint32_t i = 0; i < slot_count; i++) {
        view->index[i] = -1;
    }
    view->services = g_new0(mv_view_service_t *, count + 1);
    view->service_count = count;
    for (uint32_t i = 0; i < count; i++) {
        const mv_service_t *service = services[i]->config;
        uint32_t at = address_hash(service->address, service->port);
        while (view->index[at & view->index_mask] >= 0) {
            at++;
        }
        view->index[at & view->index_mask] = (int32_t)i;
        view->services[i] = services[i];
        services[i]->references++;
    }
    return view;
}

void
MvView_Destroy(mv_view_t *view)
{
    if (!view) {
        return;
    }
    for (uint32_t i = 0; i < view->service_count; i++) {
        MvViewService_Unref(view->services[i]);
    }
    g_free(view->services);
    g_free(view->index);
    g_free(view);
}

const mv_view_service_t *
MvView_Find(const mv_view_t *view, uint32_t address, uint16_t port)
{
    uint32_t at = address_hash(address, port);
    for (;;) {
        int32_t position = view->index[at & view->index_mask];
        if (position < 0) {
            return NULL;
        }
        const mv_service_t *service = view->services[position]->config;
        if (service->address == address && service->port == port) {
            return view->services[position];
        }
        at++;
    }
}
