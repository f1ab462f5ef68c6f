/* Node records, by which entry VMs discover each other. */
#include <arpa/inet.h>
#include <string.h>

#include "masticvane/replica.h"

/* Data centre, address and port. */
#define FIELD_COUNT 3

/* Least size of the VMs of each tier but the last. */
typedef struct tier {
    double processor;
    double megabits;
} tier_t;

static const tier_t tiers[MV_NODE_TIERS - 1] = {
    {.processor = 0.25, .megabits = 100},
    {.processor = 0.1, .megabits = 40},
    {.processor = 0.05, .megabits = 20},
};

unsigned
MvNodeId_Tier(mv_node_id_t id)
{
    return id % MV_NODE_TIERS;
}

unsigned
MvNode_TierOf(double processor, double megabits)
{
    unsigned tier = 0;
    while (tier < G_N_ELEMENTS(tiers) &&
           ((processor > 0 && processor < tiers[tier].processor) ||
            (megabits > 0 && megabits < tiers[tier].megabits))) {
        tier++;
    }
    return tier;
}

static bool
parse_id(const char *key, mv_node_id_t *id)
{
    char *end = NULL;
    *id = MV_NO_NODE;
    if (!g_str_has_prefix(key, MV_NODE_PREFIX)) {
        return false;
    }
    const char *digits = key + strlen(MV_NODE_PREFIX);
    guint64 number = g_ascii_strtoull(digits, &end, 10);
    bool is_valid = end != digits && !*end && number < MV_NO_NODE;
    *id = is_valid ? (mv_node_id_t)number : MV_NO_NODE;
    return is_valid;
}

bool
MvNodeRecord_Parse(const char *key, const char *value,
                   mv_node_record_t *record)
{
    struct in_addr address;
    char *end = NULL;
    *record = (mv_node_record_t){.id = 0};
    if (!parse_id(key, &record->id) || !value) {
        return false;
    }
    char **fields = g_strsplit(value, " ", -1);
    bool is_valid = g_strv_length(fields) == FIELD_COUNT;
    if (is_valid) {
        guint64 port = g_ascii_strtoull(fields[2], &end, 10);
        is_valid = strlen(fields[0]) < MV_NAME_MAX && *fields[0] &&
                   inet_pton(AF_INET, fields[1], &address) == 1 && !*end &&
                   port > 0 && port <= UINT16_MAX;
        g_strlcpy(record->data_centre, fields[0], MV_NAME_MAX);
        g_strlcpy(record->address, fields[1], sizeof(record->address));
        record->port = (uint16_t)port;
    }
    g_strfreev(fields);
    return is_valid;
}

char *
MvNodeRecord_Key(mv_node_id_t id)
{
    return g_strdup_printf(MV_NODE_PREFIX "%u", id);
}

char *
MvNodeRecord_Value(const mv_node_record_t *record)
{
    return g_strdup_printf("%s %s %u", record->data_centre, record->address,
                           record->port);
}
