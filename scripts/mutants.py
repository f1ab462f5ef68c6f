#!/usr/bin/env python3
"""Plants one fault at a time and checks that a test fails with it.

mutants.py [WORD...]: with words, only the faults whose promise contains one.
Works on a clone of the last commit in a temporary folder.  A fault that
survives shows a promise that no test checks; one is stale if its text does not
occur exactly once in the source.  The exit code is 1 if any fault survived, was
stale or did not build.
"""
import os
import pathlib
import subprocess
import sys
import tempfile

CORE = "packages/core/src/"
TAGS = "packages/tags/src/"
REPLICA = "packages/replica/src/"
# One planted fault per row: the promise that it breaks, the source file, the
# text that is replaced, its replacement, the test program, and its
# --gtest_filter.
MUTANTS = [
    ("moves wait for acknowledgement", CORE + "buckets.c",
     "        if (member->state == MV_MEMBER_ALIVE &&\n", "        if (false &&\n", "flows_test", "*DelayedStreams*"),
    ("moves wait for a SYN sent again", CORE + "buckets.c",
     "now - batch->complete_at >= node->settings.announce_dwell", "true", "flows_test", "Flows.*"),
    ("moving buckets are relayed to their home", CORE + "steer.c",
     "    if (location->bucket->phase == MV_BUCKET_STABLE && !fenced) {", "    if (!fenced) {", "flows_test", "*FlowEvents*"),
    ("old flows are named", CORE + "steer.c",
     "bool is_new = bucket->phase == MV_BUCKET_MIXED && packet->is_syn;", "bool is_new = bucket->phase == MV_BUCKET_MIXED;", "flows_test", "*RecordedFlows*"),
    ("entries are copied to those who come after", CORE + "handover.c",
     "static void\nsend_records(mv_node_t *node, mv_node_id_t to, GArray *records)\n{\n", "static void\nsend_records(mv_node_t *node, mv_node_id_t to, GArray *records)\n{\n    if (to < MV_NO_NODE) {\n        return;\n    }\n", "flows_test", "*FlowEvents*:*RecordedFlows*"),
    ("a paused node fences itself", CORE + "steer.c",
     "return view->fenced || now - last_timer > MV_FENCE_AFTER;", "return view->fenced && now < last_timer;", "flows_test", "Flows.Paused*"),
    ("a joining node asks until it knows", CORE + "handover.c",
     "        if (MvMembers_IsLive(member) && !member->synced) {\n            return false;", "        if (MvMembers_IsLive(member) && !member->synced) {\n            break;", "flows_test", "*FlowEvents*:*FlowSchedules*:*RecordedFlows*"),
    ("no packet crosses services", CORE + "view.c",
     "if (service->address == address && service->port == port) {", "if (true) {", "flows_test", "View*"),
    ("a leaving endpoint gets no new flow", CORE + "buckets.c",
     "(configured->leaves_at == 0 ||\n                          configured->leaves_at * MV_SECOND > wall);", "(configured->leaves_at == 0 || wall > 0);", "retirement_test", "*"),
    ("a dead endpoint gets no new flow", CORE + "balance.c",
     "        health->failed = true;", "        health->failed = false;", "flows_test", "Flows.Dead*"),
    ("where all look dead, serving goes on", CORE + "balance.c",
     "health->unanswered >= MIN_UNANSWERED_SAMPLES && others_answer &&", "health->unanswered >= MIN_UNANSWERED_SAMPLES &&", "flows_test", "Flows.Dead*"),
    ("a full endpoint gets no new flow", CORE + "balance.c",
     "        health->full = true;", "        health->full = false;", "flows_test", "Flows.Full*"),
    ("an older configuration is refused", CORE + "spread.c",
     "deployment->version <= node->deployment->version) {", "deployment->version == 0) {", "flows_test", "Config*"),
    ("a death is noticed", CORE + "members.c",
     "            set_state(node, member, MV_MEMBER_SUSPECT, now);", "            member->probe_sequence = 0;", "flows_test", "Members*"),
    ("a key is claimed before dispatch", CORE + "requests.c",
     "    if (request && request->has_key) {", "    if (request && request->has_key && now < 0) {", "requests_test", "Requests.Repeated*"),
    ("a claim is copied before it is granted", CORE + "claims.c",
     "if (claim->replicated || backup == MV_NO_NODE) {", "if (backup <= MV_NO_NODE) {", "requests_test", "*RequestFaults*"),
    ("a new owner waits for evidence", CORE + "evidence.c",
     "    if (MvEvidence_IsSynced(claims)) {", "    if (true) {", "requests_test", "*RequestFaults*:*OwnersChange*"),
    ("a key whose evidence may be lost is refused", CORE + "evidence.c",
     "    if (claims->losses->len < 2) {", "    if (claims->losses->len < 200) {", "requests_test", "*RequestFaults*:Requests.*"),
    ("a second that knows better is heard", CORE + "claims.c",
     "    if (claim && claim->state != MV_CLAIM_NOT_RUN &&\n        !is_same_claim(claim, record)) {", "    if (claim && now < 0) {", "requests_test", "*RequestFaults*:*OwnersChange*"),
    ("a broken run is never 'not run'", CORE + "requests.c",
     "    request->may_have_run |= result == MV_RESULT_INTERRUPTED;", "    request->may_have_run |= false;", "requests_test", "*RequestFaults*"),
    ("non-idempotent work is not sent again", CORE + "requests.c",
     "bool safe_to_repeat = never_ran || !request->non_idempotent;", "bool safe_to_repeat = true || never_ran;", "requests_test", "*RequestFaults*"),
    ("a leaving endpoint gets no new request", CORE + "dispatcher.c",
     "        server->leaving =", "        server->leaving = false &&", "requests_test", "Requests.Leaving*"),
    ("slots are not overrun", CORE + "dispatcher.c",
     "server->in_use >= server->limit ||", "server->in_use > server->limit ||", "requests_test", "Requests.Quiet*"),
    ("a flood leaves shares", CORE + "fair_queue.c",
     "        if (work->credit >= 1 && urgency < entitled_urgency) {", "        if (work->credit >= 100 && urgency < entitled_urgency) {", "requests_test", "Floods.EveryOther*"),
    ("members take turns", CORE + "fair_queue.c",
     "    member_queue->virtual_time += 1.0 / member_queue->weight;", "    member_queue->virtual_time += 0;", "requests_test", "Floods.Members*"),
    ("what callers gave up suspends nobody", CORE + "requests.c",
     "was_cancelled ? MV_RETURN_UNUSED", "was_cancelled ? MV_RETURN_FAILED", "requests_test", "Requests.Cancelled*"),
    ("unsigned frames are refused", "packages/net/src/frame.c",
     "if (sodium_memcmp(mac, data + sizeof(header) + body, sizeof(mac)) != 0 ||", "if (", "net_test", "Frame*"),
    ("replayed frames are refused", "packages/net/src/frame.c",
     "        return true;\n    }\n    window->seen |= 1ULL << age;", "        return false;\n    }\n    window->seen |= 1ULL << age;", "net_test", "Frame*"),
    ("half a change is not acted on", "packages/config/src/codec.c",
     "    return !strcmp(service->digest, digest);", "    return digest != NULL;", "config_test", "Codec*"),
    ("a lost answer is read back", "packages/store/src/accepted.c",
     "    case MV_STORE_FAILED:\n        g_set_error(error, MV_ERROR, MV_ERROR_UNAVAILABLE,", "    case MV_STORE_UNKNOWN:\n    case MV_STORE_FAILED:\n        g_set_error(error, MV_ERROR, MV_ERROR_UNAVAILABLE,", "store_test", "Confirm*"),
    ("operators do not overwrite each other", "packages/store/src/accepted.c",
     "        MvStore_Write(store, key, root, strlen(root), index);", "        MvStore_Write(store, key, root, strlen(root), MvStore_Read(store, key).index);", "store_test", "Confirm*"),
    ("the smaller side claims nothing", CORE + "quorum.c",
     "return claims->absent == 0 || claims->has_majority;", "return claims->absent == 0 || true;", "requests_test", "*RequestFaults*"),
    ("members tell of losses", CORE + "quorum.c",
     "    g_array_append_val(claims->losses, *loss);", "    (void)loss;", "requests_test", "*RequestFaults*"),
    ("who is back tells all before keys are accepted", CORE + "evidence.c",
     "            claims->has_synced = false;", "            claims->has_synced = claims->has_synced && claims->losses->len > 1000;", "requests_test", "*RequestFaults*"),
    ("a flow seen just now is not idle", CORE + "flow_table.h",
     "return idle > 0 ? (uint32_t)idle : 0;", "return (uint32_t)idle;", "flows_test", "*FlowEvents*"),
    ("each data centre keeps the names", CORE + "view.c",
     "    while (choice.count < MV_MAX_HOLDERS &&", "    while (choice.count < 2 &&", "flows_test", "*DataCentrePartition*"),
    ("states that were missed are found", CORE + "digests.c",
     "        any_differs = any_differs || differs[group];", "        any_differs = false;", "failures_test", "*"),
    ("moves wait for one who is back", CORE + "buckets.c",
     "        now < node->moves_deferred_until) {", "        now < 0) {", "failures_test", "*"),
    ("a version that was passed over is made up for", CORE + "buckets.c",
     "bool never_moved = bucket->version == 0;", "bool never_moved = false;", "flows_test", "*FlowSchedules*"),
    ("drained is not ahead of the flows", CORE + "retirement.c",
     "remaining->flows == 0;", "true;", "retirement_test", "*"),
    ("news of the dead go first", CORE + "members.c",
     "return member->transmissions_left + (not_alive ? MAX_TRANSMISSIONS : 0);", "return member->transmissions_left + (not_alive ? 0 : 0);", "flows_test", "Members*"),
    ("a change under later ones is known as accepted", "packages/config/src/generate.c",
     "        if (!strcmp(deployment->recent_changes[i], change_id)) {", "        if (i < 0) {", "store_test", "Confirm*"),
    ("a tag that nobody here knows is dropped", TAGS + "forwarder.c",
     "        return (mv_flow_verdict_t){.reason = MV_COUNTER_PACKETS_UNKNOWN_TAG};", "        return (mv_flow_verdict_t){.kind = MV_FLOW_RESET, .reason = MV_COUNTER_PACKETS_UNKNOWN_TAG};", "tags_test", "*Disagreement*"),
    ("servers that left stay known for their flows", TAGS + "directory.c",
     "            now - incarnation->withdrawn_at > directory->settings.retention) {", "            now > incarnation->withdrawn_at) {", "tags_test", "*Disagreement*"),
    ("a tag of another service is dropped", TAGS + "forwarder.c",
     "    if (!MvTable_Allows(route, server->service)) {", "    if (!route) {", "tags_test", "Tags.*"),
    ("an older route table never comes back", TAGS + "directory.c",
     "    if (routing->version <= directory->routing->version) {", "    if (routing->version == 0) {", "tags_test", "Tags.*"),
    ("one node alone accuses no server", TAGS + "failing.c",
     "    return health->history.long_term.failed >= MIN_WITNESSED_FAILED ||\n           health->has_second_reporter;", "    return health != NULL;", "tags_test", "Reports*"),
    ("what all servers do speaks against none", TAGS + "failing.c",
     "    return is_witnessed(health) && peers <= MAX_PEERS_FAILED_PART &&", "    excused = 0;\n    return is_witnessed(health) &&", "tags_test", "Failing*:Reports*"),
    ("full servers are not judged", TAGS + "failing.c",
     "!MvService_IsFull(forwarder, service, now)", "true", "tags_test", "Failing*"),
    ("urgent flows are refused last", TAGS + "admission.c",
     "    return (part * all - less_urgent) / admission->arrivals[level];", "    return part * all / (all + less_urgent);", "tags_test", "Admission*"),
    ("a flow that may be open is never refused", TAGS + "forwarder.c",
     "    if (!flow && packet->retransmission == 0 &&", "    if (packet->retransmission == 0 &&", "tags_test", "Admission*"),
    ("callers back from an outage are not a flood", TAGS + "admission.c",
     "#define OUTAGE_RETRANSMISSION_PART 0.1", "#define OUTAGE_RETRANSMISSION_PART 10.0", "tags_test", "Admission*"),
    ("a tight target is no overload", TAGS + "admission.c",
     "MAX(OVERLOAD_DELAY, OVERLOAD_FACTOR * admission->fast_delay)", "OVERLOAD_DELAY", "tags_test", "Admission*"),
    ("a key never goes back", REPLICA + "replica.c",
     "    if (item->revision <= entry->revision) {", "    if (item->revision == 0) {", "replica_test", "*"),
    ("a watcher that hears nothing says so", REPLICA + "fanout.c",
     "    message.target = is_fresh(fanout, now);", "    message.target = is_fresh(fanout, now) || true;", "fanout_test", "*Watchers*"),
    ("calls that fail grow rarer", REPLICA + "follower.c",
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
        for promise, file_name, original, mutated, program, test_filter in MUTANTS:
            if words and not any(word in promise for word in words):
                continue
            path = pathlib.Path(folder) / file_name
            source = path.read_text()
            if source.count(original) != 1:
                print(f"STALE     {promise}: found {source.count(original)} times in {file_name}, expected once")
                not_killed.append(promise)
                continue
            path.write_text(source.replace(original, mutated))
            built = run(["cmake", "--build", "build", "--target", program], folder, 300)
            verdict = "NOT BUILT"
            if built and built.returncode == 0:
                result = run([f"build/bin/{program}", f"--gtest_filter={test_filter}"], folder, 300)
                verdict = "survived" if result and result.returncode == 0 else "killed"
            print(f"{verdict:9} {promise} ({program} {test_filter})", flush=True)
            if verdict != "killed":
                not_killed.append(promise)
            path.write_text(source)
    print(f"{len(not_killed)} not killed")
    return 1 if not_killed else 0


if __name__ == "__main__":
    sys.exit(main())
