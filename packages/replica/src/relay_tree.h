/**
 * DOC: Ranks of the nodes of a data centre and the tree that follows from
 * them.
 *
 * Nodes are ranked by a hash of their ids, which every node computes alike;
 * the lowest hash ranks first.  The node at position p of this order receives
 * the changes of the store from the one at position (p - 1) / branching, so
 * that each node serves a constant number of others and changes pass through
 * O(log n) nodes.  Nodes that know different peers compute different trees;
 * a node only ever depends on nodes that rank before it, so no cycle results.
 */
#ifndef MV_RELAY_TREE_H
#define MV_RELAY_TREE_H

#include "masticvane/replica.h"

#ifdef __cplusplus
extern "C" {
#endif

/** typedef mv_relay_tree_t - The tree as one node sees it. */
typedef struct mv_relay_tree mv_relay_tree_t;

/**
 * MvRelayTree_Create() - Create the tree of a node that knows no others.
 * @branching: number of nodes that one node serves
 *
 * Return: the tree, to be freed with MvRelayTree_Destroy().
 */
mv_relay_tree_t *MvRelayTree_Create(unsigned branching);

/** MvRelayTree_Destroy() - Free the tree; NULL is accepted. */
void MvRelayTree_Destroy(mv_relay_tree_t *tree);

/**
 * MvRelayTree_Rank() - Rank of a node; a lower one ranks before it.
 *
 * A hash of the id, below its tier: nodes of a lower tier rank before all
 * nodes of higher ones (MvNodeId_Tier()).
 */
uint64_t MvRelayTree_Rank(mv_node_id_t id);

/** MvRelayTree_Reset() - Forget all nodes; @self is the own id. */
void MvRelayTree_Reset(mv_relay_tree_t *tree, mv_node_id_t self);

/** MvRelayTree_Add() - Add a node other than the own one. */
void MvRelayTree_Add(mv_relay_tree_t *tree, mv_node_id_t id);

/** MvRelayTree_Finish() - Order the nodes after the last MvRelayTree_Add(). */
void MvRelayTree_Finish(mv_relay_tree_t *tree);

/** MvRelayTree_Position() - Number of nodes that rank before the own one. */
unsigned MvRelayTree_Position(const mv_relay_tree_t *tree);

/** MvRelayTree_Depth() - Number of nodes between the store and the own one. */
unsigned MvRelayTree_Depth(const mv_relay_tree_t *tree);

/** MvRelayTree_Parent() - Parent of the own node, MV_NO_NODE for the first. */
mv_node_id_t MvRelayTree_Parent(const mv_relay_tree_t *tree);

/**
 * MvRelayTree_Candidate() - The node to ask for changes at attempt @attempt.
 *
 * The ancestors come first, then the nodes that rank directly behind the first
 * one, which replace it.  Later attempts alternate between the parent and any
 * node.
 *
 * Return: MV_NO_NODE when no other node is known.
 */
mv_node_id_t MvRelayTree_Candidate(const mv_relay_tree_t *tree,
                                   unsigned attempt);

#ifdef __cplusplus
}
#endif
#endif
