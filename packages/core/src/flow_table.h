/**
 * DOC: Table of flow entries, which map a flow to its endpoint.
 *
 * Open addressing in shards, 16 bytes an entry.  Traffic threads and the
 * control thread use it concurrently; each operation locks one shard at a
 * time, for one pass over that shard at most.
 */
#ifndef MV_CORE_FLOW_TABLE_H
#define MV_CORE_FLOW_TABLE_H

#include "masticvane/core.h"

/**
 * struct mv_flow_key - Identity of a flow within a deployment.
 * @address: caller's address
 * @port: caller's port
 * @service: service id
 */
typedef struct mv_flow_key {
    uint32_t address;
    uint16_t port;
    uint16_t service;
} mv_flow_key_t;

/** MvFlowKey_Hash() - 64-bit hash of a flow. */
uint64_t MvFlowKey_Hash(mv_flow_key_t key);

/**
 * MvFlowHash_Bucket() - Bucket of a flow.
 *
 * @mask: number of buckets of the service minus one
 *
 * Uses bits 32 and up; the slot in the table uses the lower bits.
 */
static inline uint32_t
MvFlowHash_Bucket(uint64_t hash, uint32_t mask)
{
    return (uint32_t)(hash >> 32) & mask;
}

/**
 * enum mv_flow_flags - Flags of a flow entry.
 * @MV_FLOW_UNREPLICATED: not sent to the replica holders yet
 * @MV_FLOW_CLOSED: a FIN or RST was seen
 * @MV_FLOW_NEW: its SYN went to the new endpoint of a moving bucket
 */
typedef enum mv_flow_flags {
    MV_FLOW_UNREPLICATED = 1,
    MV_FLOW_CLOSED = 2,
    MV_FLOW_NEW = 4,
} mv_flow_flags_t;

/**
 * struct mv_flow_entry - One flow.
 * @key: its identity
 * @seen_ms: time of its last packet, milliseconds modulo 2^32
 * @endpoint: endpoint id, 0 for an empty slot
 * @flags: &enum mv_flow_flags
 */
typedef struct mv_flow_entry {
    mv_flow_key_t key;
    uint32_t seen_ms;
    uint16_t endpoint;
    uint16_t flags;
} mv_flow_entry_t;

/**
 * MvFlow_IdleMilliseconds() - Time since the last packet of a flow.
 *
 * A traffic thread may have set @seen_ms after @now_ms was read; the idle time
 * is 0 then.
 */
static inline uint32_t
MvFlow_IdleMilliseconds(uint32_t now_ms, uint32_t seen_ms)
{
    int32_t idle = (int32_t)(now_ms - seen_ms);
    return idle > 0 ? (uint32_t)idle : 0;
}

/** typedef mv_flow_table_t - Table of flow entries. */
typedef struct mv_flow_table mv_flow_table_t;

/**
 * MvFlowTable_Create() - New table for @capacity entries.
 *
 * Allocates all its memory.  Return: the table; NULL when out of memory.
 */
mv_flow_table_t *MvFlowTable_Create(uint32_t capacity);

/** MvFlowTable_Destroy() - Free a table; NULL is accepted. */
void MvFlowTable_Destroy(mv_flow_table_t *table);

/**
 * MvFlowTable_Touch() - Find an entry and update its last packet time.
 * @closing: also set MV_FLOW_CLOSED
 *
 * Return: its endpoint id; MV_NO_ENDPOINT when the flow has no entry.
 */
uint16_t MvFlowTable_Touch(mv_flow_table_t *table, mv_flow_key_t key,
                           uint32_t now_ms, bool closing);

/**
 * MvFlowTable_Insert() - Add an entry unless the flow has one.
 *
 * Return: the endpoint id of the flow's entry; MV_NO_ENDPOINT when its shard
 * is full.
 */
uint16_t MvFlowTable_Insert(mv_flow_table_t *table, mv_flow_key_t key,
                            uint32_t now_ms, uint16_t endpoint,
                            uint16_t flags);

/**
 * typedef mv_flow_visit_t - Visitor; returns false to remove the entry.
 *
 * Runs with the entry's shard locked: it must not use the table.
 */
typedef bool (*mv_flow_visit_t)(void *context, mv_flow_entry_t *entry);

/** MvFlowTable_Sweep() - Visit every entry; locks one shard at a time. */
void MvFlowTable_Sweep(mv_flow_table_t *table, mv_flow_visit_t visit,
                       void *context);

/**
 * MvFlowTable_SweepUnreplicated() - Visit every entry of the shards that have
 *                                   unreplicated entries.
 */
void MvFlowTable_SweepUnreplicated(mv_flow_table_t *table,
                                   mv_flow_visit_t visit, void *context);

/** MvFlowTable_Count() - Number of entries; approximate while in use. */
size_t MvFlowTable_Count(const mv_flow_table_t *table);

#endif
