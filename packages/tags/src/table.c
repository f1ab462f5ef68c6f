/* Lookups in the immutable snapshot. */
#include "table.h"

#define PORT_BITS 16

gpointer
MvTable_AddressKey(uint32_t address, uint16_t port)
{
    return GSIZE_TO_POINTER(((gsize)address << PORT_BITS) | port);
}

const mv_table_route_t *
MvTable_Route(const mv_table_t *table, uint32_t address, uint16_t port)
{
    return g_hash_table_lookup(table->by_address,
                               MvTable_AddressKey(address, port));
}

int
MvTable_Server(const mv_table_t *table, uint32_t tag)
{
    return GPOINTER_TO_INT(
               g_hash_table_lookup(table->by_tag, GUINT_TO_POINTER(tag))) -
           1;
}

bool
MvTable_Names(const mv_table_route_t *route, unsigned service)
{
    for (unsigned i = 0; i < route->route.share_count; i++) {
        if (route->services[i] == service) {
            return true;
        }
    }
    return false;
}

bool
MvTable_Allows(const mv_table_route_t *route, unsigned service)
{
    if (MvTable_Names(route, service)) {
        return true;
    }
    for (unsigned i = 0; i < route->former_count; i++) {
        if (route->former[i] == service) {
            return true;
        }
    }
    return false;
}

void
MvTable_SetSource(mv_table_t *table, uint64_t revision, mv_time_t changed_at)
{
    table->revision = revision;
    table->changed_at = changed_at;
}

mv_time_t
MvTable_ChangedAt(const mv_table_t *table)
{
    return table->changed_at;
}

void
MvTable_Destroy(mv_table_t *table)
{
    if (!table) {
        return;
    }
    for (unsigned i = 0; i < table->service_count; i++) {
        g_free(table->services[i].servers);
    }
    g_hash_table_unref(table->by_address);
    g_hash_table_unref(table->by_tag);
    g_hash_table_unref(table->unnamed_tags);
    g_free(table->servers);
    g_free(table->services);
    g_free(table->routes);
    g_free(table);
}
