#include "flow_table.h"

#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#define SHARDS 64
/* The highest 6 bits of the hash select the shard. */
#define SHARD_SHIFT 58
#define MIN_SHARD_SLOTS 16
/* Endpoint ids begin at 1. */
#define NO_ENTRY 0
#define HASH_SEED 0x6d617374696376ULL

typedef struct shard {
    atomic_flag locked;
    uint32_t mask;
    uint32_t count;
    uint32_t capacity;
    bool has_unreplicated;
    mv_flow_entry_t *slots;
} shard_t;

struct mv_flow_table {
    shard_t shards[SHARDS];
};

uint64_t
MvFlowKey_Hash(mv_flow_key_t key)
{
    return XXH3_64bits_withSeed(&key, sizeof(key), HASH_SEED);
}

/* count and has_unreplicated are written under the lock and read without it,
 * to skip empty shards. */
static uint32_t
shard_count(const shard_t *shard)
{
    return __atomic_load_n(&shard->count, __ATOMIC_RELAXED);
}

static void
shard_change_count(shard_t *shard, int change)
{
    __atomic_store_n(&shard->count, shard->count + (uint32_t)change,
                     __ATOMIC_RELAXED);
}

static bool
shard_has_unreplicated(const shard_t *shard)
{
    return __atomic_load_n(&shard->has_unreplicated, __ATOMIC_RELAXED);
}

static void
shard_set_unreplicated(shard_t *shard, bool has_unreplicated)
{
    __atomic_store_n(&shard->has_unreplicated, has_unreplicated,
                     __ATOMIC_RELAXED);
}

static void
shard_lock(shard_t *shard)
{
    while (atomic_flag_test_and_set_explicit(&shard->locked,
                                             memory_order_acquire)) {
    }
}

static void
shard_unlock(shard_t *shard)
{
    atomic_flag_clear_explicit(&shard->locked, memory_order_release);
}

/* Allocates slots for a load factor of at most 3/4, so that traffic threads
 * never allocate.  Pages that are never written use no memory. */
static bool
shard_init(shard_t *shard, uint32_t capacity)
{
    uint32_t slots = MIN_SHARD_SLOTS;
    while (slots / 4 * 3 < capacity) {
        slots *= 2;
    }
    shard->capacity = capacity;
    shard->mask = slots - 1;
    shard->slots = calloc(slots, sizeof(*shard->slots));
    return shard->slots != NULL;
}

mv_flow_table_t *
MvFlowTable_Create(uint32_t capacity)
{
    mv_flow_table_t *table = calloc(1, sizeof(*table));
    if (!table) {
        return NULL;
    }
    for (unsigned i = 0; i < SHARDS; i++) {
        if (!shard_init(&table->shards[i], capacity / SHARDS + 1)) {
            MvFlowTable_Destroy(table);
            return NULL;
        }
    }
    return table;
}

void
MvFlowTable_Destroy(mv_flow_table_t *table)
{
    for (unsigned i = 0; table && i < SHARDS; i++) {
        free(table->shards[i].slots);
    }
    free(table);
}

static mv_flow_entry_t *
shard_find(shard_t *shard, mv_flow_key_t key, uint64_t hash)
{
    uint32_t at = (uint32_t)hash;
    for (;;) {
        mv_flow_entry_t *entry = &shard->slots[at & shard->mask];
        if (entry->endpoint == NO_ENTRY ||
            !memcmp(&entry->key, &key, sizeof(key))) {
            return entry;
        }
        at++;
    }
}

uint16_t
MvFlowTable_Touch(mv_flow_table_t *table, mv_flow_key_t key, uint32_t now_ms,
                  bool closing)
{
    uint64_t hash = MvFlowKey_Hash(key);
    shard_t *shard = &table->shards[hash >> SHARD_SHIFT];
    shard_lock(shard);
    mv_flow_entry_t *entry = shard_find(shard, key, hash);
    uint16_t endpoint = MV_NO_ENDPOINT;
    if (entry->endpoint != NO_ENTRY) {
        endpoint = entry->endpoint;
        entry->seen_ms = now_ms;
        entry->flags |= closing ? MV_FLOW_CLOSED : 0;
    }
    shard_unlock(shard);
    return endpoint;
}

uint16_t
MvFlowTable_Insert(mv_flow_table_t *table, mv_flow_key_t key, uint32_t now_ms,
                   uint16_t endpoint, uint16_t flags)
{
    uint64_t hash = MvFlowKey_Hash(key);
    shard_t *shard = &table->shards[hash >> SHARD_SHIFT];
    if (endpoint == NO_ENTRY) {
        return MV_NO_ENDPOINT;
    }
    shard_lock(shard);
    mv_flow_entry_t *entry = shard_find(shard, key, hash);
    if (entry->endpoint != NO_ENTRY) {
        endpoint = entry->endpoint;
    }
    else if (shard->count >= shard->capacity) {
        endpoint = MV_NO_ENDPOINT;
    }
    else {
        *entry = (mv_flow_entry_t){.key = key,
                                   .seen_ms = now_ms,
                                   .endpoint = endpoint,
                                   .flags = flags};
        shard_change_count(shard, 1);
        if (flags & MV_FLOW_UNREPLICATED) {
            shard_set_unreplicated(shard, true);
        }
    }
    shard_unlock(shard);
    return endpoint;
}

/* Removes the entry at slot @gap and moves later entries of the probe sequence
 * back, so that lookups do not stop at the gap. */
static void
shard_remove(shard_t *shard, uint32_t gap)
{
    uint32_t at = gap;
    shard_change_count(shard, -1);
    for (;;) {
        shard->slots[gap].endpoint = NO_ENTRY;
        for (;;) {
            at = (at + 1) & shard->mask;
            mv_flow_entry_t *entry = &shard->slots[at];
            if (entry->endpoint == NO_ENTRY) {
                return;
            }
            uint32_t ideal_slot =
                (uint32_t)MvFlowKey_Hash(entry->key) & shard->mask;
            if (((at - ideal_slot) & shard->mask) >=
                ((at - gap) & shard->mask)) {
                break;
            }
        }
        shard->slots[gap] = shard->slots[at];
        gap = at;
    }
}

static void
shard_sweep(shard_t *shard, mv_flow_visit_t visit, void *context)
{
    uint32_t i = 0;
    bool has_unreplicated = false;
    while (i <= shard->mask) {
        mv_flow_entry_t *entry = &shard->slots[i];
        if (entry->endpoint != NO_ENTRY && !visit(context, entry)) {
            /* A later entry may have moved to this slot: visit it again. */
            shard_remove(shard, i);
            continue;
        }
        has_unreplicated =
            has_unreplicated || (entry->endpoint != NO_ENTRY &&
                                 (entry->flags & MV_FLOW_UNREPLICATED));
        i++;
    }
    shard_set_unreplicated(shard, has_unreplicated);
}

static void
sweep(mv_flow_table_t *table, bool only_unreplicated, mv_flow_visit_t visit,
      void *context)
{
    for (unsigned i = 0; i < SHARDS; i++) {
        shard_t *shard = &table->shards[i];
        if (shard_count(shard) == 0 ||
            (only_unreplicated && !shard_has_unreplicated(shard))) {
            continue;
        }
        shard_lock(shard);
        shard_sweep(shard, visit, context);
        shard_unlock(shard);
    }
}

void
MvFlowTable_Sweep(mv_flow_table_t *table, mv_flow_visit_t visit, void *context)
{
    sweep(table, false, visit, context);
}

void
MvFlowTable_SweepUnreplicated(mv_flow_table_t *table, mv_flow_visit_t visit,
                              void *context)
{
    sweep(table, true, visit, context);
}

size_t
MvFlowTable_Count(const mv_flow_table_t *table)
{
    size_t count = 0;
    for (unsigned i = 0; i < SHARDS; i++) {
        count += shard_count(&table->shards[i]);
    }
    return count;
}
