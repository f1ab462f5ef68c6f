#include "view.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#define GROUP_STRIDE 37
#define MIN_INDEX 16

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

/* Best of @nodes, leaving out node @without and data centre @apart. */
static const mv_request_member_t *
best_node(uint32_t group, const mv_request_member_t *nodes, size_t count,
          const mv_request_member_t *without, uint32_t apart)
{
    const mv_request_member_t *best = NULL;
    uint64_t best_score = 0;
    for (size_t i = 0; i < count; i++) {
        if (&nodes[i] == without || (apart && nodes[i].data_centre == apart)) {
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

static void
choose_homes(mv_homes_t *homes, uint32_t group,
             const mv_request_member_t *nodes, size_t count)
{
    const mv_request_member_t *home = best_node(group, nodes, count, NULL, 0);
    const mv_request_member_t *second = NULL;
    if (home && home->data_centre) {
        second = best_node(group, nodes, count, home, home->data_centre);
    }
    if (home && !second) {
        second = best_node(group, nodes, count, home, 0);
    }
    homes->home[group] = home ? (mv_node_id_t)home->id : MV_NO_NODE;
    homes->second[group] = second ? (mv_node_id_t)second->id : MV_NO_NODE;
}

void
MvHomes_Compute(mv_homes_t *homes, const mv_request_member_t *nodes,
                size_t count)
{
    for (uint32_t group = 0; group < MV_GROUPS; group++) {
        choose_homes(homes, group, nodes, count);
    }
}

/* Could @changed be, or have been, home or second home of the group? */
static bool
concerns(const mv_homes_t *homes, uint32_t group, mv_node_id_t changed)
{
    mv_node_id_t home = homes->home[group];
    mv_node_id_t second = homes->second[group];
    if (home == changed || second == changed || home == MV_NO_NODE ||
        second == MV_NO_NODE) {
        return true;
    }
    uint64_t score = rendezvous_score(group, changed);
    return score >= rendezvous_score(group, second) ||
           score >= rendezvous_score(group, home);
}

void
MvHomes_Update(mv_homes_t *homes, const mv_request_member_t *nodes,
               size_t count, mv_node_id_t changed)
{
    for (uint32_t group = 0; group < MV_GROUPS; group++) {
        if (concerns(homes, group, changed)) {
            choose_homes(homes, group, nodes, count);
        }
    }
}

mv_view_service_t *
MvViewService_Create(mv_deployment_t *deployment, const mv_service_t *service,
                     int32_t *open)
{
    mv_view_service_t *view = g_malloc0(
        sizeof(*view) + service->bucket_count * sizeof(view->buckets[0]));
    view->references = 1;
    view->deployment = MvDeployment_Ref(deployment);
    view->service = service;
    view->open = g_atomic_rc_box_acquire(open);
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
    g_atomic_rc_box_release(service->open);
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
    MvList_Init(&view->retired);
    uint32_t places = MIN_INDEX;
    while (places < 2 * count) {
        places *= 2;
    }
    view->index_mask = places - 1;
    view->index = g_new(int32_t, places);
    for (uint32_t i = 0; i < places; i++) {
        view->index[i] = -1;
    }
    view->services = g_new0(mv_view_service_t *, count + 1);
    view->service_count = count;
    for (uint32_t i = 0; i < count; i++) {
        const mv_service_t *service = services[i]->service;
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
        const mv_service_t *service = view->services[position]->service;
        if (service->address == address && service->port == port) {
            return view->services[position];
        }
        at++;
    }
}
