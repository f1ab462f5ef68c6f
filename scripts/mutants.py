#!/usr/bin/env python3
"""Plants one fault at a time and checks that a test fails with it.

mutants.py [WORD...]: with words, only the faults whose rule contains one.
Works on a clone of the last commit in a temporary folder.  A fault that
survives shows a rule that no test checks; a fault is stale if the text that it
replaces does not occur exactly once in the source.  The exit code is 1 if any
fault survived, was stale or did not build.
"""
import os
import pathlib
import subprocess
import sys
import tempfile

CORE = "packages/core/src/"
TAGS = "packages/tags/src/"
REPLICA = "packages/replica/src/"
# One planted fault per row: the rule that it breaks, the source file, the
# text that is replaced, its replacement, the test program, and its
# --gtest_filter.
MUTANTS = [
    ("a move waits until all alive members have acknowledged it", CORE + "buckets.c",
     "        if (member->state == MV_MEMBER_ALIVE &&\n", "        if (false &&\n", "flows_test", "*DelayedStreams*"),
    ("a move waits for announce_dwell after its last acknowledgement", CORE + "buckets.c",
     "now - batch->complete_at >= node->settings.announce_dwell", "true", "flows_test", "Flows.*"),
    ("packets of moving buckets are relayed to the primary", CORE + "steer.c",
     "    if (location->bucket->phase == MV_BUCKET_STABLE && !fenced) {", "    if (!fenced) {", "flows_test", "*FlowEvents*"),
    ("a packet without SYN is recorded at the old endpoint of a moving bucket", CORE + "steer.c",
     "bool is_new = bucket->phase == MV_BUCKET_MIXED && packet->is_syn;", "bool is_new = bucket->phase == MV_BUCKET_MIXED;", "flows_test", "*RecordedFlows*"),
    ("flow entries are replicated to their holders", CORE + "handover.c",
     "static void\nsend_records(mv_node_t *node, mv_node_id_t to, GArray *records)\n{\n", "static void\nsend_records(mv_node_t *node, mv_node_id_t to, GArray *records)\n{\n    if (to < MV_NO_NODE) {\n        return;\n    }\n", "flows_test", "*FlowEvents*:*RecordedFlows*"),
    ("a paused node fences itself", CORE + "steer.c",
     "return view->fenced || now - last_timer > MV_FENCE_AFTER;", "return view->fenced && now < last_timer;", "flows_test", "Flows.Paused*"),
    ("a joining node synchronises with each live member", CORE + "handover.c",
     "        if (MvMembers_IsLive(member) && !member->synced) {\n            return false;", "        if (MvMembers_IsLive(member) && !member->synced) {\n            break;", "flows_test", "*FlowEvents*:*FlowSchedules*:*RecordedFlows*"),
    ("a packet reaches only the service of its address and port", CORE + "view.c",
     "if (service->address == address && service->port == port) {", "if (true) {", "flows_test", "View*"),
    ("a leaving endpoint gets no new flow", CORE + "buckets.c",
     "(configured->leaves_at == 0 ||\n                          configured->leaves_at * MV_SECOND > wall);", "(configured->leaves_at == 0 || wall > 0);", "retirement_test", "*"),
    ("a failed endpoint gets no new flow", CORE + "balance.c",
     "        health->failed = true;", "        health->failed = false;", "flows_test", "Flows.Dead*"),
    ("no endpoint is marked as failed unless at least half answer", CORE + "balance.c",
     "health->unanswered >= MIN_UNANSWERED_SAMPLES && others_answer &&", "health->unanswered >= MIN_UNANSWERED_SAMPLES &&", "flows_test", "Flows.Dead*"),
    ("a full endpoint gets no new flow", CORE + "balance.c",
     "        health->full = true;", "        health->full = false;", "flows_test", "Flows.Full*"),
    ("an older configuration is refused", CORE + "spread.c",
     "deployment->version <= node->deployment->version) {", "deployment->version == 0) {", "flows_test", "Config*"),
    ("an unanswered probe makes a member suspected", CORE + "members.c",
     "            set_state(node, member, MV_MEMBER_SUSPECT, now);", "            member->probe_sequence = 0;", "flows_test", "Members*"),
    ("a key is claimed before dispatch", CORE + "requests.c",
     "    if (request && request->has_key) {", "    if (request && request->has_key && now < 0) {", "requests_test", "Requests.Repeated*"),
    ("a claim is replicated before it is granted", CORE + "claims.c",
     "if (claim->replicated || backup == MV_NO_NODE) {", "if (backup <= MV_NO_NODE) {", "requests_test", "*RequestFaults*"),
    ("a new owner waits until its claims are complete", CORE + "evidence.c",
     "    if (MvEvidence_IsSynced(claims)) {", "    if (true) {", "requests_test", "*RequestFaults*:*OwnersChange*"),
    ("a key whose claim may be lost is refused", CORE + "evidence.c",
     "    if (claims->losses->len < 2) {", "    if (claims->losses->len < 200) {", "requests_test", "*RequestFaults*:Requests.*"),
    ("a backup confirms no claim that conflicts with its own", CORE + "claims.c",
     "    if (claim && claim->state != MV_CLAIM_NOT_RUN &&\n        !is_same_claim(claim, record)) {", "    if (claim && now < 0) {", "requests_test", "*RequestFaults*:*OwnersChange*"),
    ("an interrupted run is never reported as not run", CORE + "requests.c",
     "    request->may_have_run |= result == MV_RESULT_INTERRUPTED;", "    request->may_have_run |= false;", "requests_test", "*RequestFaults*"),
    ("a non-idempotent request that may have run is not retried", CORE + "requests.c",
     "bool safe_to_repeat = never_ran || !request->non_idempotent;", "bool safe_to_repeat = true || never_ran;", "requests_test", "*RequestFaults*"),
    ("a leaving endpoint gets no new request", CORE + "dispatcher.c",
     "        server->leaving =", "        server->leaving = false &&", "requests_test", "Requests.Leaving*"),
    ("a backend server gets no more requests than its limit", CORE + "dispatcher.c",
     "server->in_use >= server->limit ||", "server->in_use > server->limit ||", "requests_test", "Requests.Quiet*"),
    ("each class of work gets its guaranteed share under overload", CORE + "fair_queue.c",
     "        if (work->credit >= 1 && urgency < entitled_urgency) {", "        if (work->credit >= 100 && urgency < entitled_urgency) {", "requests_test", "Floods.EveryOther*"),
    ("members' requests are dispatched by weighted fair queueing", CORE + "fair_queue.c",
     "    member_queue->virtual_time += 1.0 / member_queue->weight;", "    member_queue->virtual_time += 0;", "requests_test", "Floods.Members*"),
    ("a cancelled dispatch is not a failure of the backend server", CORE + "requests.c",
     "was_cancelled ? MV_RETURN_UNUSED", "was_cancelled ? MV_RETURN_FAILED", "requests_test", "Requests.Cancelled*"),
    ("unsigned frames are refused", "packages/net/src/frame.c",
     "if (sodium_memcmp(mac, data + sizeof(header) + body, sizeof(mac)) != 0 ||", "if (", "net_test", "Frame*"),
    ("replayed frames are refused", "packages/net/src/frame.c",
     "        return true;\n    }\n    window->seen |= 1ULL << age;", "        return false;\n    }\n    window->seen |= 1ULL << age;", "net_test", "Frame*"),
    ("a service that does not match its digest is refused", "packages/config/src/codec.c",
     "    return !strcmp(service->digest, digest);", "    return digest != NULL;", "config_test", "Codec*"),
    ("a write of unknown outcome is read back", "packages/store/src/accepted.c",
     "    case MV_STORE_FAILED:\n        g_set_error(error, MV_ERROR, MV_ERROR_UNAVAILABLE,", "    case MV_STORE_UNKNOWN:\n    case MV_STORE_FAILED:\n        g_set_error(error, MV_ERROR, MV_ERROR_UNAVAILABLE,", "store_test", "Confirm*"),
    ("operators do not overwrite each other", "packages/store/src/accepted.c",
     "        MvStore_Write(store, key, root, strlen(root), index);", "        MvStore_Write(store, key, root, strlen(root), MvStore_Read(store, key).index);", "store_test", "Confirm*"),
    ("the minority side of a partition claims no keys", CORE + "quorum.c",
     "return claims->absent == 0 || claims->has_majority;", "return claims->absent == 0 || true;", "requests_test", "*RequestFaults*"),
    ("missing nodes and losses that peers report are recorded", CORE + "quorum.c",
     "    g_array_append_val(claims->losses, *loss);", "    (void)loss;", "requests_test", "*RequestFaults*"),
    ("members resynchronise after a lost one returns", CORE + "evidence.c",
     "            claims->has_synced = false;", "            claims->has_synced = claims->has_synced && claims->losses->len > 1000;", "requests_test", "*RequestFaults*"),
    ("a flow seen after the clock was read has idle time 0", CORE + "flow_table.h",
     "return idle > 0 ? (uint32_t)idle : 0;", "return (uint32_t)idle;", "flows_test", "*FlowEvents*"),
    ("flow entries have a holder in each data centre", CORE + "view.c",
     "    while (choice.count < MV_MAX_HOLDERS &&", "    while (choice.count < 2 &&", "flows_test", "*DataCentrePartition*"),
    ("bucket states that differ from a peer's are sent to it", CORE + "digests.c",
     "        any_differs = any_differs || differs[group];", "        any_differs = false;", "failures_test", "*"),
    ("moves are deferred after a member returns", CORE + "buckets.c",
     "        now < node->moves_deferred_until) {", "        now < 0) {", "failures_test", "*"),
    ("a bucket move of a skipped configuration version is made later", CORE + "buckets.c",
     "bool never_moved = bucket->version == 0;", "bool never_moved = false;", "flows_test", "*FlowSchedules*"),
    ("an endpoint with recorded flows is not drained", CORE + "retirement.c",
     "remaining->flows == 0;", "true;", "retirement_test", "*"),
    ("updates about members that are not alive are sent first", CORE + "members.c",
     "return member->transmissions_left + (not_alive ? MAX_TRANSMISSIONS : 0);", "return member->transmissions_left + (not_alive ? 0 : 0);", "flows_test", "Members*"),
    ("an accepted change is recognised after later changes", "packages/config/src/generate.c",
     "        if (!strcmp(deployment->recent_changes[i], change_id)) {", "        if (i < 0) {", "store_test", "Confirm*"),
    ("a packet with an unknown tag is dropped", TAGS + "forwarder.c",
     "        return MvFlow_HandleUnknownTag(forwarder, now, tag);", "        return (mv_flow_verdict_t){.kind = MV_FLOW_RESET, .reason = MV_COUNTER_PACKETS_UNKNOWN_TAG};", "tags_test", "*Disagreement*"),
    ("withdrawn servers are kept for the retention period", TAGS + "directory.c",
     "            now - incarnation->withdrawn_at > directory->settings.retention) {", "            now > incarnation->withdrawn_at) {", "tags_test", "*Disagreement*"),
    ("a packet with the tag of another service is dropped", TAGS + "forwarder.c",
     "    if (!MvTable_Allows(route, server->service)) {", "    if (!route) {", "tags_test", "Tags.*"),
    ("an older route table never replaces a newer one", TAGS + "directory.c",
     "    if (routing->version <= directory->routing->version) {", "    if (routing->version == 0) {", "tags_test", "Tags.*"),
    ("failures reported by one peer alone make no server an outlier", TAGS + "failing.c",
     "    return health->history.long_term.failed >= MIN_WITNESSED_FAILED ||\n           health->has_second_reporter;", "    return health != NULL;", "tags_test", "Reports*"),
    ("no server is an outlier while the other servers fail as well", TAGS + "failing.c",
     "    return is_witnessed(health) && peers <= MAX_PEERS_FAILED_PART &&", "    excused = 0;\n    return is_witnessed(health) &&", "tags_test", "Failing*:Reports*"),
    ("a server of a full service is not put into back-off", TAGS + "failing.c",
     "!MvService_IsFull(forwarder, service, now)", "true", "tags_test", "Failing*"),
    ("urgent flows are refused last", TAGS + "admission.c",
     "    return (part * all - less_urgent) / admission->arrivals[level];", "    return part * all / (all + less_urgent);", "tags_test", "Admission*"),
    ("a flow that may be open is never refused", TAGS + "forwarder.c",
     "    if (!flow && packet->retransmission == 0 &&", "    if (packet->retransmission == 0 &&", "tags_test", "Admission*"),
    ("no flow is refused while callers retry after an outage", TAGS + "admission.c",
     "#define OUTAGE_RETRANSMISSION_PART 0.1", "#define OUTAGE_RETRANSMISSION_PART 10.0", "tags_test", "Admission*"),
    ("a delay near that without a queue is no overload", TAGS + "admission.c",
     "MAX(OVERLOAD_DELAY, OVERLOAD_FACTOR * admission->fast_delay)", "OVERLOAD_DELAY", "tags_test", "Admission*"),
    ("an older revision of a key never replaces a newer one", REPLICA + "replica.c",
     "    if (item->revision <= entry->revision) {", "    if (item->revision == 0) {", "replica_test", "*"),
    ("a watcher without recent store contact reports itself stale", REPLICA + "fanout.c",
     "send_heartbeats(fanout, now, is_fresh(fanout, now));", "send_heartbeats(fanout, now, true);", "fanout_test", "*Watchers*"),
    ("a lost source is replaced", REPLICA + "source.c",
     "now > valid_until(source)", "source->is_outdated", "late_source_test", "*LostSources*"),
    ("a source that handles messages late is lost", REPLICA + "source.c",
     "    return source->confirmed_at + source->settings->confirmation_limit;", "    return MV_NEVER - source->settings->confirmation_limit;", "late_source_test", "*LostSources*"),
    ("a late node does not become a source", REPLICA + "source.c",
     "           now - confirmed_at <= source->settings->confirmation_limit;", "           now >= confirmed_at;", "late_source_test", "*"),
    ("a node that cannot get a change is not up to date", REPLICA + "fanout.c",
     "    return behind_since > 0 &&\n", "    return behind_since > 0 && now < 0 &&\n", "late_source_test", "*LostSources*"),
    ("a node that cannot prove what it knows asks the store", REPLICA + "fanout.c",
     "    return now - proven_at > fanout->settings.change_limit - CATCH_UP_TIME;", "    return now < proven_at;", "late_source_test", "ProvenAge*"),
    ("larger VMs rank first", REPLICA + "relay_tree.c",
     "    uint64_t tier = MvNodeId_Tier(id);", "    uint64_t tier = 0 * MvNodeId_Tier(id);", "relay_test", "*Tier*:*LargeVms*"),
    ("a node depends only on nodes that rank before it", REPLICA + "fanout.c",
     "    if (!ranks_before(fanout, peer) ||", "    if (!peer ||", "relay_test", "Relay.*:*_60"),
    ("the subscriber that ranks last gives way", REPLICA + "subscribers.c",
     "    if (!last || last->rank < rank) {", "    if (last) {", "relay_test", "Relay.*"),
    ("an odd node key has no id", REPLICA + "node_record.c",
     "    *id = is_valid ? (mv_node_id_t)number : MV_NO_NODE;", "    *id = (mv_node_id_t)number;", "fanout_test", "*MalformedKey*"),
    ("servers of an evacuated data centre get no new flows", TAGS + "snapshot.c",
     "                         !is_evacuated && incarnation->replaced_at == 0,", "                         incarnation->replaced_at == 0,", "tags_test", "Evacuation.*"),
    ("a flow that only evacuated servers could take is refused at once", TAGS + "forwarder.c",
     "    if (position < 0 && MvService_IsEvacuated(forwarder, service)) {", "    if (position < 0 && service > 1000) {", "tags_test", "Evacuation.*"),
    ("a stored SYN that only evacuated servers could take is refused at once", TAGS + "syn_retries.c",
     "    if (position < 0 && MvService_IsEvacuated(forwarder, service)) {", "    if (position < 0 && service > 1000) {", "tags_test", "Evacuation.*"),
    ("open flows go on at a former service of their route", TAGS + "table.c",
     "        if (route->former[i] == service) {", "        if (route->former[i] == service && i > 100) {", "tags_test", "*Route*"),
    ("a route that is removed takes its former services along", TAGS + "route_history.c",
     "    return !route || names_service(route, service);", "    return route && names_service(route, service);", "tags_test", "RouteHistory.*"),
    ("a node that starts learns former services from the record", TAGS + "route_history.c",
     "    former->is_recorded = former->version == version;\n    return true;", "    former->is_recorded = false;\n    return true;", "tags_test", "*Route*"),
    ("an observer writes what the record lacks", TAGS + "route_history.c",
     "        if (former->is_observed && !former->is_recorded) {", "        if (former->is_observed && former->version == 0) {", "tags_test", "*Route*"),
    ("a record is written under the condition that it is as known", REPLICA + "record_writer.c",
     "strlen(writer->wanted), revision, handle_reply,", "strlen(writer->wanted), revision + 2, handle_reply,", "replica_test", "RecordWriter.*"),
    ("open flows of a server that has ended are reset", TAGS + "ended_flows.c",
     "        if (health && health->has_ended) {", "        if (health && health->has_ended && now < 0) {", "tags_test", "Ended.*"),
    ("a server that answers has not ended", TAGS + "ended.c",
     "    *liveness = (mv_liveness_t){.answered_at = now};", "    liveness->answered_at = now;", "tags_test", "Ended.*"),
    ("silence alone does not end a flow", TAGS + "ended.c",
     "    if (now < ended_at) {\n        return false;", "    if (now < 0) {\n        return false;", "tags_test", "Ended.*"),
    ("an unknown tag is no evidence at a node without contact", TAGS + "ended.c",
     "    mv_time_t known_since = MAX(unknown->first_at, in_touch_since);", "    mv_time_t known_since = in_touch_since < 0 ? 0 : unknown->first_at;", "tags_test", "Ended.*"),
    ("a SYN to a server that was replaced is placed anew", TAGS + "syn_retries.c",
     "    return flow->syn_count > 0 && position >= 0 &&\n           forwarder->table->servers[position].is_replaced;", "    return flow->syn_count > 1000 && position >= 0;", "tags_test", "Ended.*"),
    ("callers keep their retries while a service is silent", TAGS + "flows.c",
     "           SILENT_AFTER_FLOWS;", "           100000;", "tags_test", "Ended.*"),
    ("an entry whose service no configuration names is no server", TAGS + "succession.c",
     "            g_hash_table_contains(names, incarnation->server.service);", "            names != NULL;", "tags_test", "Ended.*:*OddEntries*"),
    ("an unnamed service's entry over a server's key replaces nothing", TAGS + "succession.c",
     "    return successor && successor->is_named &&", "    return successor &&", "tags_test", "Ended.*:*OddEntries*"),
    ("a server that has ended replaces none, whatever its clock said", TAGS + "succession.c",
     "           successor->revision > incarnation->revision;", "           successor->revision != incarnation->revision;", "tags_test", "*Succession*"),
    ("a server is not replaced by an entry that is gone", TAGS + "succession.c",
     "            incarnation->replaced_at = 0;", "            incarnation->replaced_at *= 1;", "tags_test", "Ended.*"),
    ("an entry with a field missing is no server", "platform/documents.c",
     "    return check_unused_fields(object);", "    (void)check_unused_fields;\n    return NULL;", "platform_test", "Documents.*"),
    ("a key below that of a server names none", "platform/documents.c",
     "    if (strchr(name, '/') || !read_id(name, &server->id)) {", "    if (!read_id(name, &server->id)) {", "platform_test", "Documents.*"),
    ("a copy of an entry keeps no draining server in use", TAGS + "snapshot.c",
     "        if (is_draining_copy(&holder->server, &server->server)) {", "        if (is_draining_copy(&holder->server, &server->server) && position > 1000) {", "tags_test", "DuplicateIds*"),
    ("the grace of a server that vanished counts from when it was last known", REPLICA + "fanout.c",
     "    return had_outage ? now : proven_at;", "    return had_outage || proven_at >= 0 ? now : proven_at;", "fanout_test", "*Watchers*"),
    ("a heartbeat tells the age of its sender's replica", REPLICA + "completeness.c",
     "    return (uint32_t)(MIN(age, MAX_TOLD_AGE) / MV_MILLISECOND) + 1;", "    return (uint32_t)(MIN(age, 0) / MV_MILLISECOND) + 1;", "fanout_test", "*Watchers*"),
    ("what a heartbeat tells counts once its revision is reached", REPLICA + "completeness.c",
     "    return revision >= completeness->told_revision ?", "    return revision >= 0 ?", "fanout_test", "Fanout.Claims*"),
    ("servers have time to come back after an outage of the store", REPLICA + "fanout.c",
     "    return had_outage ? now : proven_at;", "    return had_outage && now < 0 ? now : proven_at;", "fanout_test", "Fanout.Servers*"),
    ("a node that lost its source has not seen an outage of the store", REPLICA + "fanout.c",
     "        !MvFollower_HasFailedSince(fanout->follower, contact_at, now)) {", "        now < 0) {", "relay_test", "*RemovedBefore*_60"),
    ("a restored store does not date removals", TAGS + "directory.c",
     "is_restoring ? now : removed_at);", "is_restoring && now < 0 ? now : removed_at);", "tags_test", "Vanished*"),
    ("half a surrogate pair in a key costs its item alone", "platform/store.c",
     "half && *half ? UNREADABLE_ESCAPE : escape", "half && *half && match == NULL ? UNREADABLE_ESCAPE : escape", "platform_test", "Store.*"),
    ("a list goes on behind a page of which nothing can be kept", "platform/store.c",
     "    return json_is_string(key)\n", "    return json_is_string(key) && !memchr(json_string_value(key), 0, json_string_length(key))\n", "platform_test", "StorePages.*"),
    ("a list goes on behind a key that cannot be read", "platform/store.c",
     "    *unreadable = '\\0';\n", "    unreadable[0] = '%';\n", "platform_test", "StorePages.*"),
    ("a page that leads to itself fails the list", REPLICA + "follower.c",
     "items->next && !g_strcmp0(items->next, follower->next_page);", "items->next && items->next[0] == 0;", "replica_test", "Replica.*"),
    ("a header's name may arrive in pieces", "packages/net/src/http1_client.c",
     "    return append_piece(&connection->header.name, at, length);", "    MvBuffer_Consume(&connection->header.name, connection->header.name.length);\n    return append_piece(&connection->header.name, at, length);", "net_test", "Pieces.*"),
    ("a header's value may arrive in pieces", "packages/net/src/http1_client.c",
     "    return append_piece(&connection->header.value, at, length);", "    MvBuffer_Consume(&connection->header.value, connection->header.value.length);\n    return append_piece(&connection->header.value, at, length);", "net_test", "Pieces.*"),
    ("an answer without its era is not used", "platform/store.c",
     "    call->has_era = is_told || !store->tells_era;", "    call->has_era = true;", "platform_test", "StoreReplies.*"),
    ("an answer without its revision is not used", "platform/store.c",
     "    return is_known;\n", "    return true;\n", "platform_test", "StoreReplies.*"),
    ("a key that cannot be read names no server", "platform/documents.c",
     "    if (strstr(name, REPLACEMENT_CHARACTER)) {", "    if (strstr(name, REPLACEMENT_CHARACTER) && name[0] == 0) {", "platform_test", "Documents.*"),
    ("tags of a service that this node cannot name are not reset", TAGS + "ended_flows.c",
     "    if (g_hash_table_contains(forwarder->table->unnamed_tags,\n                              GUINT_TO_POINTER(tag))) {", "    if (tag > 0 && now < 0) {", "tags_test", "*Route*"),
    ("a server that warms up gets only this node's share", TAGS + "placement.c",
     "           MvWarmup_MayTake(&health->warmup, now, service->warmup_share);", "           now > 0;", "tags_test", "Warmup.*"),
    ("unused shares of servers that warm up are lost", TAGS + "warmup.c",
     "    return !is_used && (double)now - begun_at < ALLOWED_TIME;", "    return !is_used;", "tags_test", "Warmup.*"),
    ("a node that does not count among the others sends nothing to servers that warm up", TAGS + "warmup.c",
     "    return nodes > 0 ? USED_PART * limit / nodes : 0;", "    return USED_PART * limit / MAX(nodes, 1);", "tags_test", "Warmup.*"),
    ("a watch that spans a restoration is refused", "platform/store.c",
     "                       call->era != call->watched_era", "                       call->era < call->watched_era", "platform_test", "StoreReplies.*"),
    ("a condition from before a restoration does not hold", "platform/store.c",
     "    bool is_current = index == 0 || MvStore_Era(index) == store->era;", "    bool is_current = store->era < MV_STORE_ERA_STEP;", "platform_test", "StoreReplies.*"),
    ("an evacuation holds until a restored store has it again", TAGS + "directory.c",
     "    if (evacuation && !is_evacuated && now < directory->restored_until) {", "    if (evacuation && !is_evacuated && now < 0) {", "tags_test", "Evacuation.*"),
    ("a server that leaves stays so when a restored store shows it from before", TAGS + "directory.c",
     "        incarnation->drains_until = directory->restored_until;", "        incarnation->drains_until = 0;", "tags_test", "Evacuation.*"),
    ("signing keys that a restored store lost are written again", REPLICA + "registration.c",
     "        registration->keys = g_strdup(keys);", "        registration->keys = NULL;", "fanout_test", "Restored.*"),
    ("flows leave when that pays", TAGS + "spill.c",
     "    double part = (gain / (double)unit - MIN_GAIN) / GAIN_RANGE;", "    double part = (gain / (double)unit - MIN_GAIN) / GAIN_RANGE - 2;", "tags_test", "Spill*"),
    ("nothing leaves for a data centre without room", TAGS + "spill.c",
     "    double room = 1 - wait / MAX_WAIT;", "    double room = wait < 0 ? 0 : 1;", "tags_test", "Spill*"),
    ("bytes between data centres have a price", TAGS + "data_centre_choice.c",
     "(mv_time_t)(megabytes * (double)forwarder->megabyte_price);", "(mv_time_t)(megabytes * 0);", "tags_test", "Spill*"),
    ("a key names one server", TAGS + "directory.c",
     "!strcmp(left->key, right->key);", "left->key != NULL;", "tags_test", "DuplicateIds*"),
    ("a key that may have run is not released", CORE + "claims.c",
     "    if (!is_settled && !MvRequests_Find(claims->requests, record->request)) {", "    if (!MvRequests_Find(claims->requests, record->request)) {", "requests_test", "*Unknown*"),
    ("an unanswered SYN goes to its server again, to no other", TAGS + "syn_retries.c",
     "    int position = MvTable_Server(forwarder->table, flow->tag);\n    if (flow->syn_count", "    int position = MvPlacement_Choose(forwarder, now, forwarder->table->servers[0].service);\n    if (flow->syn_count", "tags_test", "Tags.*:*Losses*"),
    ("a leaving server gets no repeated SYN", TAGS + "syn_retries.c",
     "    return server->takes_new && now < server->usable_until;", "    return now < server->usable_until;", "tags_test", "Tags.*"),
    ("a SYN goes only to a service that the configuration in force gives its route", TAGS + "syn_retries.c",
     "    if (!is_service_named(forwarder, flow, position)) {\n        return false;", "    if (position < 0) {\n        return false;", "tags_test", "Tags.NoSyn*"),
    ("other nodes are told a flow that opens late", TAGS + "offers.c",
     "        tell_offer(forwarder, flow, now);", "        (void)tell_offer;", "tags_test", "Tags.*"),
    ("a retransmission whose first SYN went elsewhere is held", TAGS + "held_syns.c",
     "    return packet->retransmission > 0 &&", "    return packet->retransmission > 9 &&", "tags_test", "Tags.*:*Losses*"),
    ("SYNs that waited during a standstill are dropped", TAGS + "forwarder.c",
     "        if (packet->has_syn && is_stale_syn(packet, now)) {", "        if (packet->has_syn && length == 0) {", "tags_test", "Tags.*"),
    ("a SYN kept during a standstill is not repeated", TAGS + "syn_retries.c",
     "    return now <= flow->offer_until;", "    return now <= MV_NEVER;", "tags_test", "Tags.*"),
    ("nodes are told where a contested flow opened", TAGS + "forwarder.c",
     "    if (flow->is_contested) {\n        MvOffers", "    if (!flow) {\n        MvOffers", "tags_test", "Tags.*"),
    ("an offer of an open flow is contradicted", TAGS + "offers.c",
     "            MvOffers_TellOpening(forwarder, flow, now);\n        }\n    }", "            flow->told_at = now;\n        }\n    }", "tags_test", "Tags.*"),
    ("without a stamp a datagram counts as old", "packages/masticvaned/src/arrivals.c",
     "        return longest;", "        return 0;", "arrivals_test", "*"),
    ("a doubled SYN does not replace an open flow", TAGS + "forwarder.c",
     "        is_doubled_syn(flow, now, bytes, length)) {", "        length == 0) {", "tags_test", "Tags.*"),
    ("a stale SYN in a batch is not sent", "packages/masticvaned/src/datagrams.c",
     "        if (now <= batch->expires_at[i]) {", "        if (batch->count > 0) {", "arrivals_test", "*"),
    ("a list is complete up to its oldest page only", REPLICA + "replica_list.c",
     "MIN(list->revision, revision)", "revision", "replica_test", "*"),
    ("a list that replaced changes leads to snapshots", REPLICA + "replica_list.c",
     "        replica->purged_revision = list->revision;\n", "", "replica_test", "*"),
    ("a change from before a list does not come back", REPLICA + "replica.c",
     "           (!entry || entry->deleted);", "           !entry;", "replica_test", "*"),
    ("a list keeps the set of its own keys", REPLICA + "replica_list.c",
     "            g_hash_table_contains(list->keys, entry->key)) {", "            entry->changed_at == now) {", "replica_test", "*"),
    ("a watch whose reply cannot be taken leads to a list", "platform/store.c",
     "        return MV_STORE_REFUSED;\n    }\n    return call->is_write", "        return MV_STORE_FAILED;\n    }\n    return call->is_write", "platform_test", "*"),
    ("the retry delay grows with each failed call", REPLICA + "follower.c",
     "    follower->delay = (mv_time_t)(jitter * (double)follower->back_off);", "    follower->delay = (mv_time_t)(jitter * 1000);", "fanout_test", "Fanout.*"),
]


def run(command, folder, timeout_s):
    """Return: the completed process, or None after the time-out."""
    try:
        return subprocess.run(command, cwd=folder, timeout=timeout_s, stdout=subprocess.PIPE,
                              stderr=subprocess.STDOUT, text=True)
    except subprocess.TimeoutExpired:
        return None


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    words = sys.argv[1:]
    not_killed = []
    with tempfile.TemporaryDirectory() as folder:
        subprocess.run(["git", "clone", "-q", str(root), folder], check=True)
        subprocess.run(["cmake", "-S", ".", "-B", "build", "-G", "Ninja", "-DCMAKE_C_FLAGS=-w", "-DCMAKE_BUILD_TYPE=RelWithDebInfo"], cwd=folder,
                       check=True, stdout=subprocess.DEVNULL)
        subprocess.run(["cmake", "--build", "build"], cwd=folder, check=True, stdout=subprocess.DEVNULL)
        for rule, file_name, original, mutated, program, test_filter in MUTANTS:
            if words and not any(word in rule for word in words):
                continue
            path = pathlib.Path(folder) / file_name
            source = path.read_text()
            if source.count(original) != 1:
                print(f"STALE     {rule}: found {source.count(original)} times in {file_name}, expected once")
                not_killed.append(rule)
                continue
            path.write_text(source.replace(original, mutated))
            built = run(["cmake", "--build", "build", "--target", program], folder, 300)
            verdict = "NOT BUILT"
            if built and built.returncode == 0:
                result = run([f"build/bin/{program}", f"--gtest_filter={test_filter}"], folder, 300)
                verdict = "survived" if result and result.returncode == 0 else "killed"
            print(f"{verdict:9} {rule} ({program} {test_filter})", flush=True)
            if verdict != "killed":
                not_killed.append(rule)
            path.write_text(source)
    print(f"{len(not_killed)} not killed")
    return 1 if not_killed else 0


if __name__ == "__main__":
    sys.exit(main())
