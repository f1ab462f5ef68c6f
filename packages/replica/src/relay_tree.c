/* Ranks of the nodes of a data centre and the tree that follows from them. */
#include "relay_tree.h"

#include <xxhash.h>

/* Nodes behind the first one that are asked after the ancestors. */
#define SUCCESSORS 2
/* Bits of a rank that hold the tier. */
#define TIER_BITS 2
#define TIER_SHIFT (64 - TIER_BITS)

G_STATIC_ASSERT(MV_NODE_TIERS <= 1u << TIER_BITS);

typedef struct ranked_node {
    uint64_t rank;
    mv_node_id_t id;
} ranked_node_t;

struct mv_relay_tree {
    unsigned branching;
    mv_node_id_t self;
    GArray *nodes; /* ranked_node_t, the own node excluded */
    unsigned position;
    unsigned depth;
};

mv_relay_tree_t *
MvRelayTree_Create(unsigned branching)
{
    mv_relay_tree_t *tree = g_new0(mv_relay_tree_t, 1);
    tree->branching = branching;
    tree->self = MV_NO_NODE;
    tree->nodes = g_array_new(FALSE, FALSE, sizeof(ranked_node_t));
    return tree;
}

void
MvRelayTree_Destroy(mv_relay_tree_t *tree)
{
    if (!tree) {
        return;
    }
    g_array_unref(tree->nodes);
    g_free(tree);
}

uint64_t
MvRelayTree_Rank(mv_node_id_t id)
{
    uint64_t tier = MvNodeId_Tier(id);
    return tier << TIER_SHIFT | XXH3_64bits(&id, sizeof(id)) >> TIER_BITS;
}

void
MvRelayTree_Reset(mv_relay_tree_t *tree, mv_node_id_t self)
{
    tree->self = self;
    g_array_set_size(tree->nodes, 0);
}

void
MvRelayTree_Add(mv_relay_tree_t *tree, mv_node_id_t id)
{
    const ranked_node_t node = {.rank = MvRelayTree_Rank(id), .id = id};
    g_array_append_val(tree->nodes, node);
}

static gint
compare_ranks(gconstpointer a, gconstpointer b)
{
    const ranked_node_t *left = a;
    const ranked_node_t *right = b;
    return left->rank < right->rank ? -1 : left->rank > right->rank;
}

static unsigned
parent_position(const mv_relay_tree_t *tree, unsigned position)
{
    return (position - 1) / tree->branching;
}

void
MvRelayTree_Finish(mv_relay_tree_t *tree)
{
    uint64_t own_rank = MvRelayTree_Rank(tree->self);
    g_array_sort(tree->nodes, compare_ranks);
    tree->position = 0;
    while (tree->position < tree->nodes->len &&
           g_array_index(tree->nodes, ranked_node_t, tree->position).rank <
               own_rank) {
        tree->position++;
    }
    tree->depth = 0;
    for (unsigned at = tree->position; at > 0;
         at = parent_position(tree, at)) {
        tree->depth++;
    }
}

unsigned
MvRelayTree_Position(const mv_relay_tree_t *tree)
{
    return tree->position;
}

unsigned
MvRelayTree_Depth(const mv_relay_tree_t *tree)
{
    return tree->depth;
}

static mv_node_id_t
node_at(const mv_relay_tree_t *tree, unsigned position)
{
    return g_array_index(tree->nodes, ranked_node_t, position).id;
}

/* @generation is 0 for the parent, 1 for its parent, and so on. */
static mv_node_id_t
ancestor(const mv_relay_tree_t *tree, unsigned generation)
{
    unsigned at = parent_position(tree, tree->position);
    while (generation > 0) {
        at = parent_position(tree, at);
        generation--;
    }
    return node_at(tree, at);
}

mv_node_id_t
MvRelayTree_Parent(const mv_relay_tree_t *tree)
{
    return tree->depth == 0 ? MV_NO_NODE : ancestor(tree, 0);
}

/* Any node; the same for the same attempt, different from node to node. */
static mv_node_id_t
draw(const mv_relay_tree_t *tree, unsigned attempt)
{
    const uint32_t seed[] = {tree->self, attempt};
    uint64_t number = XXH3_64bits(seed, sizeof(seed));
    return node_at(tree, (unsigned)(number % tree->nodes->len));
}

mv_node_id_t
MvRelayTree_Candidate(const mv_relay_tree_t *tree, unsigned attempt)
{
    if (tree->nodes->len == 0) {
        return MV_NO_NODE;
    }
    if (attempt < tree->depth) {
        return ancestor(tree, attempt);
    }
    unsigned successor = 1 + attempt - tree->depth;
    if (successor <= SUCCESSORS && successor < tree->position) {
        return node_at(tree, successor);
    }
    return attempt % 2 == 0 && tree->depth > 0 ? ancestor(tree, 0)
                                               : draw(tree, attempt);
}
